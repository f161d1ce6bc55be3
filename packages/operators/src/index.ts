/** The rules file, operators' reports, and the load generator. */
export * from './burn_page';
export * from './burn_report';
export * from './burn_text';
export * from './explain_report';
export * from './load';
export * from './node_pages';
export * from './rules_report';
export * from './rules_text';
export * from './rules_writer';
export * from './status_report';
export * from './steps';
