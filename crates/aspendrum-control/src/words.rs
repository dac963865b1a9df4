//! The words on a connection to control: from other machines of control, and from agents.

use aspendrum_consensus::founding::{self, Voters};
use aspendrum_consensus::{Place, Said};
use aspendrum_model::news::Front;
use aspendrum_model::servers::Server;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Between {
    /// The first word of a link: who speaks, where other control is, and who votes.
    Hello {
        place: Place,
        zone: String,
        others: Vec<(Place, String)>,
        voters: Voters,
    },
    /// A sign of life. `polled`: so long ago the platform's list was read here, in milliseconds.
    Here {
        polled: Option<u32>,
    },
    Register(Said),
    Founding(founding::Word),
    /// The proxies whose agents hold a link to the speaker.
    Fronts(Vec<Front>),
    /// The platform's list, read that many milliseconds ago.
    Servers {
        age: u32,
        list: Vec<Server>,
    },
}
