/** Test utilities of the core; not used in production. */
export * from './fuzz_parameters';
export * from './rollout_entry';
export * from './rollout_simulation';
export * from './virtual_network';
export * from './batch_simulation';
export * from './pipelined_trainer';
export * from './text_lengths';
export * from './trainer_simulation';
export * from './scoring_simulation';
export * from './scoring_load';
export * from './plan_views';
export * from './capacity_simulation';
