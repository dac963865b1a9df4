//! Calls of servers and operators, told apart by a tree of matchers: each node fits one segment of the path,
//! leaves name a method and what is called.

/// A node of the tree. `C` names the calls.
pub enum Node<C> {
    /// A segment of just this text, and what may follow.
    Word(&'static str, Vec<Node<C>>),
    /// Any one segment, kept as the call's argument.
    Any(Vec<Node<C>>),
    /// The path ends here; called by this method.
    Leaf(&'static str, C),
}

/// What a call came to.
#[derive(Debug, PartialEq)]
pub enum Found<'p, C> {
    /// The call, its arguments from the path, and its query.
    Call(C, Vec<&'p str>, &'p str),
    /// The path is known, the method is not.
    OtherMethod,
    Nothing,
}

/// Finds what a request calls. `path` is the target as it came.
pub fn find<'p, C: Copy>(tree: &[Node<C>], method: &str, path: &'p str) -> Found<'p, C> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let Some(path) = path.strip_prefix('/') else {
        return Found::Nothing;
    };
    let segments: Vec<&str> = path.split('/').collect();
    let (mut kept, mut known) = (Vec::new(), false);
    match walk(tree, method, &segments, &mut kept, &mut known) {
        Some(call) => Found::Call(call, kept, query),
        None if known => Found::OtherMethod,
        None => Found::Nothing,
    }
}

fn walk<'p, C: Copy>(
    nodes: &[Node<C>],
    method: &str,
    rest: &[&'p str],
    kept: &mut Vec<&'p str>,
    known: &mut bool,
) -> Option<C> {
    for node in nodes {
        let found = match (node, rest) {
            (Node::Leaf(by, call), []) => {
                *known = true;
                Some(*call).filter(|_| *by == method)
            }
            (Node::Word(word, next), [first, rest @ ..]) if word == first => {
                walk(next, method, rest, kept, known)
            }
            (Node::Any(next), [first, rest @ ..]) if !first.is_empty() => {
                kept.push(first);
                let found = walk(next, method, rest, kept, known);
                if found.is_none() {
                    kept.pop();
                }
                found
            }
            _ => None,
        };
        if found.is_some() {
            return found;
        }
    }
    None
}

/// The value of a name in a query.
pub fn argument<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|p| p.0 == name)
        .map(|p| p.1)
}
