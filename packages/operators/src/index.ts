/** Rules file and what operators read back. */
export * from './explain_report';
export * from './node_pages';
export * from './rules_report';
export * from './rules_text';
export * from './rules_writer';
export * from './status_report';
