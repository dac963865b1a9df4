//! Matches requests to API calls, using a tree of path segments whose leaves are a method and a call.

/// A node of the tree. `C` identifies the calls.
pub enum PathNode<C> {
    /// A segment with exactly this text, and the nodes that may follow.
    Literal(&'static str, Vec<PathNode<C>>),
    /// Any nonempty segment, which becomes an argument of the call, and the nodes that may follow.
    Parameter(Vec<PathNode<C>>),
    /// The end of a path, with a method and its call.
    Endpoint(&'static str, C),
}

/// The result of matching a request.
#[derive(Debug, PartialEq)]
pub enum PathMatch<'p, C> {
    /// The request matches a call.
    Call {
        /// The call.
        call: C,
        /// The arguments from the path.
        arguments: Vec<&'p str>,
        /// The query component of the target; empty if there is none.
        query: &'p str,
    },
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The path does not exist.
    NotFound,
}

/// Finds the call for a request. `target` is the request target as received, with path and query.
pub fn match_path<'p, C: Copy>(
    tree: &[PathNode<C>],
    method: &str,
    target: &'p str,
) -> PathMatch<'p, C> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some(path) = path.strip_prefix('/') else {
        return PathMatch::NotFound;
    };
    let segments: Vec<&str> = path.split('/').collect();
    let mut search = Search {
        method,
        arguments: Vec::new(),
        is_path_known: false,
    };
    match search.visit(tree, &segments) {
        Some(call) => PathMatch::Call {
            call,
            arguments: search.arguments,
            query,
        },
        None if search.is_path_known => PathMatch::MethodNotAllowed,
        None => PathMatch::NotFound,
    }
}

/// The state of a depth-first search through the tree.
struct Search<'m, 'p> {
    method: &'m str,
    arguments: Vec<&'p str>,
    /// Whether the tree has an endpoint for the path, with any method.
    is_path_known: bool,
}

impl<'p> Search<'_, 'p> {
    fn visit<C: Copy>(&mut self, nodes: &[PathNode<C>], segments: &[&'p str]) -> Option<C> {
        nodes
            .iter()
            .find_map(|node| self.visit_node(node, segments))
    }

    fn visit_node<C: Copy>(&mut self, node: &PathNode<C>, segments: &[&'p str]) -> Option<C> {
        match (node, segments) {
            (PathNode::Endpoint(method, call), []) => {
                self.is_path_known = true;
                Some(*call).filter(|_| *method == self.method)
            }
            (PathNode::Literal(text, next), [first, rest @ ..]) if text == first => {
                self.visit(next, rest)
            }
            (PathNode::Parameter(next), [first, rest @ ..]) if !first.is_empty() => {
                self.arguments.push(first);
                let found = self.visit(next, rest);
                if found.is_none() {
                    self.arguments.pop();
                }
                found
            }
            _ => None,
        }
    }
}

/// Returns the value of the first parameter with the given name in a query.
pub fn query_parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
