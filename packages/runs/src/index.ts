/** Runs of items beside a model engine, and the engine's weights. */
export * from './agent_service';
export * from './engine_ports';
export * from './weight_loader';
