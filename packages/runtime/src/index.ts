/** Clock, logs, metrics, HTTP and settings of a process. */
export * from './clock';
export * from './decision_log';
export * from './describe_error';
export * from './http_errors';
export * from './http_server';
export * from './latency_histograms';
export * from './log';
export * from './metrics';
export * from './operators_routes';
export * from './settings';
export * from './settings_expectations';
export * from './undici_errors';
export * from './http_client';
export {dropBody} from './http_response_end';
export * from './bounded_output';
export * from './event_stream';
export * from './waiters';
