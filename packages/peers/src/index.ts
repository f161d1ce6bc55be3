/** Calls among the nodes of a deployment, and who they are. */
export * from './cluster_watch';
export * from './peer_client';
export * from './peer_relay';
export * from './peer_server';
export * from './relayed_store';
export * from './watch_cache';
