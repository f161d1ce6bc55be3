/** Client of model engines. */
export * from './completion_stream';
export * from './engine_client';
export * from './engine_wire';
export * from './sse_reader';
