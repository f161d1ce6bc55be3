/** Calls among the nodes of a deployment, and who they are. */
export * from './cluster_watch';
export * from './peer_client';
export * from './peer_server';
