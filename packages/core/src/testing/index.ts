/** Tools for tests of the core; not part of the product. */
export * from './fuzz_parameters';
export * from './rollout_entry';
export * from './rollout_simulation';
export * from './virtual_network';
export * from './batch_simulation';
