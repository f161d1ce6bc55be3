/** What the steps of trainers waited for, read from the nodes' logs. */
export * from './log_reader';
export * from './step_bound';
export * from './step_history';
export * from './step_waits';
export * from './steps_text';
