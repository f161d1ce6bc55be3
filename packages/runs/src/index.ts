/** Runs of items on a model engine, and loading of its weights. */
export * from './agent_service';
export * from './engine_ports';
export * from './weight_loader';
