//! At most once: claims in the platform for calls that may not be repeated.
