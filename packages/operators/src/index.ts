/** Operators: rules file, status, reports. */
export * from './rules_text';
export * from './rules_writer';
