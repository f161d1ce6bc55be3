/** Load on entries, by callers and trainers. */
export * from './load_callers';
export * from './load_plan';
export * from './load_report';
export * from './load_trainer';
