//! The command line.

use bpaf::Bpaf;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// The operators' client of the system
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Arguments {
    /// A machine of control, its ctl address; the next one named is asked where one does not answer
    #[bpaf(
        long("at"),
        argument("IP:PORT"),
        some("name a machine of control with --at IP:PORT")
    )]
    pub(crate) control_nodes: Vec<SocketAddrV4>,
    /// Prints what control said as it is
    #[bpaf(long("json"))]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Sends a configuration until a majority of disks holds it, or it is refused
    #[bpaf(command)]
    Put {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// The newest configuration, as it was sent
    #[bpaf(command)]
    Show,
    /// Checks a configuration as control does, without asking anybody
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// What a configuration would change of the newest one; ends with 1 if it would
    #[bpaf(command)]
    Diff {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Begins or finishes the evacuation of a zone
    #[bpaf(command)]
    Evacuate {
        #[bpaf(external(evacuation_step))]
        step: EvacuationStep,
    },
    /// Each node: what was decided, what it applied, since when it differs; ends with 1 if any does
    #[bpaf(command)]
    Nodes,
    /// What each version would do with a request, and how many nodes apply which
    #[bpaf(command)]
    Explain {
        #[bpaf(positional("HOST"))]
        host: String,
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

/// Which end of an evacuation.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum EvacuationStep {
    /// Nothing more is sent to the zone's servers
    #[bpaf(command)]
    Begin {
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// The zone is taken back
    #[bpaf(command)]
    Finish {
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}
