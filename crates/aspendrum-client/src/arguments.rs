//! Command-line arguments.

use bpaf::Bpaf;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Command-line client for operators
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Arguments {
    /// The operator address (ctl) of a control node; may be given several times, the nodes are tried in order
    #[bpaf(
        long("at"),
        argument("IP:PORT"),
        some("at least one control node is required: --at IP:PORT")
    )]
    pub(crate) control_nodes: Vec<SocketAddrV4>,
    /// Prints the response of the control nodes as JSON
    #[bpaf(long("json"))]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// Command to run
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Uploads a configuration; retries until a majority of control nodes has stored it, or it is refused
    #[bpaf(command)]
    Put {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the current configuration as it was uploaded
    #[bpaf(command)]
    Show,
    /// Validates a configuration locally, with the same checks as a control node
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Compares a configuration with the current one; exits with status 1 if they differ
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
    /// Shows the decided state, and what each node has applied; exits with status 1 if any node differs
    #[bpaf(command)]
    Nodes,
    /// Shows how each configuration version routes a request, and how many nodes have applied it
    #[bpaf(command)]
    Explain {
        #[bpaf(positional("HOST"))]
        host: String,
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

/// Step of the evacuation
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum EvacuationStep {
    /// Stops sending requests to the zone's servers
    #[bpaf(command)]
    Begin {
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Resumes sending requests to the zone's servers
    #[bpaf(command)]
    Finish {
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}
