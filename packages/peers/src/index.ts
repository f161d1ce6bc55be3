/** Calls between the nodes of a deployment, and the list of nodes. */
export * from './cluster_watch';
export * from './peer_client';
export * from './peer_relay';
export * from './peer_server';
export * from './relayed_store';
export * from './stream_origin_keeper';
export * from './watch_cache';
