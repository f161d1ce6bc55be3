/** Rate limits that endpoints state, kept by all nodes together. */
export * from './rate_gate';
