/** gRPC clients and servers of entries and agents. */
export * from './agent_client';
export * from './drain_client';
export * from './entry_client';
export * from './frames';
export * from './node_server';
export {
  RunState as WireRunState,
  type AcknowledgeRequest,
  type AgentHeartbeat,
  type EndpointState,
  type EntryHeartbeat,
  type FetchRulesReply,
  type FetchRulesRequest,
  type FetchWeightsRequest,
  type KeptAnswer,
  type OfferRulesReply,
  type OfferRulesRequest,
  type ResumeRequest,
  type RevokeReply,
  type RevokeRequest,
  type RunFrame,
  type RunRequest,
  type StepCall,
  type StepReply,
  type VersionHead,
  type WatchRequest,
  type WeightsChunk,
} from './generated/nodes';
