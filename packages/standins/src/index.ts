/** Stand-ins: small fake servers that replace external systems. */
export * from './engine_options';
export * from './engine_standin';
export * from './execution_log';
export * from './plain_service_standin';
export * from './platform_standin';
export * from './scoring_standin';
export * from './weight_store_standin';
