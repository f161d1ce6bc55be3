/** Reads heartbeats of agents into reports of the core. */
import type {
  AgentReport,
  EndpointCondition,
  EndpointReport,
} from '@sassafrasspan/core';
import type {AgentHeartbeat, EndpointState} from '@sassafrasspan/nodes';

const CONDITIONS: ReadonlySet<string> = new Set<EndpointCondition>([
  'serving',
  'swapping',
  'unknown-version',
  'down',
  'leaving',
]);

function isCondition(text: string): text is EndpointCondition {
  return CONDITIONS.has(text);
}

/** Reads a heartbeat; an endpoint in an unlisted condition counts as down. */
export function parseAgentReport(heartbeat: AgentHeartbeat): AgentReport {
  return {...heartbeat, endpoints: heartbeat.endpoints.map(parseEndpoint)};
}

function parseEndpoint(endpoint: EndpointState): EndpointReport {
  const state = isCondition(endpoint.state) ? endpoint.state : 'down';
  return {...endpoint, state};
}
