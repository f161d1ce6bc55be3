/** Load generator: callers and trainers that send requests to entries. */
export * from './load_callers';
export * from './load_plan';
export * from './load_report';
export * from './load_trainer';
