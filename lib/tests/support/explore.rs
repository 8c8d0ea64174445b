//! Breadth-first exploration of all states that a model reaches, with a trace of a violation.

use std::{
    fmt::Debug,
    hash::{Hash, Hasher},
};

use pathfinding::prelude::bfs_reach;
use xxhash_rust::xxh3::xxh3_128;

/// A protocol and its faults, as a state, the actions possible in it, and an invariant.
pub trait Model: Clone {
    type Action: Clone + Debug;

    fn actions(&self) -> Vec<Self::Action>;
    fn apply(&mut self, action: &Self::Action);
    /// Returns the part of the state that determines its successors; states with the same key are
    /// visited once.
    fn key(&self) -> String;
    fn check(&self) -> Result<(), String>;
}

/// A state, stored as the actions that lead to it. Nodes with the same key are equal.
struct Node<A> {
    key: u128,
    trace: Vec<A>,
    fault: Option<String>,
}

impl<A> PartialEq for Node<A> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<A> Eq for Node<A> {}

impl<A> Hash for Node<A> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl<A: Clone> Clone for Node<A> {
    fn clone(&self) -> Self {
        Self { key: self.key, trace: self.trace.clone(), fault: self.fault.clone() }
    }
}

#[derive(Debug)]
pub struct Exploration {
    pub states: usize,
    pub longest: usize,
    /// The first violation and the actions that lead to it.
    pub violation: Option<(String, Vec<String>)>,
}

impl Exploration {
    /// Panics with the trace of the violation if there is one.
    pub fn assert_sound(&self) {
        if let Some((fault, trace)) = &self.violation {
            panic!("{fault} after\n  {}", trace.join("\n  "));
        }
    }
}

/// Visits every state in order of distance, up to the first violation.
pub fn explore<M: Model>(start: &M) -> Exploration {
    let first = Node { key: xxh3_128(start.key().as_bytes()), trace: Vec::new(), fault: None };
    let successors = |node: &Node<M::Action>| -> Vec<Node<M::Action>> {
        let mut model = start.clone();
        for action in &node.trace {
            model.apply(action);
        }
        let step = |action: M::Action| {
            let mut next = model.clone();
            next.apply(&action);
            let mut trace = node.trace.clone();
            trace.push(action);
            let key = xxh3_128(next.key().as_bytes());
            Node { key, trace, fault: next.check().err() }
        };
        model.actions().into_iter().map(step).collect()
    };
    let mut exploration = Exploration { states: 0, longest: 0, violation: None };
    for node in bfs_reach(first, successors) {
        exploration.states += 1;
        exploration.longest = exploration.longest.max(node.trace.len());
        if let Some(fault) = node.fault {
            let trace = node.trace.iter().map(|action| format!("{action:?}")).collect();
            exploration.violation = Some((fault, trace));
            break;
        }
    }
    exploration
}
