//! Typed calls between the instances, over tarpc.
