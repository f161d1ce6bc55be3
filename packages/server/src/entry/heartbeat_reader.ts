/** Converts agents' heartbeats into the reports that the fleet view uses. */
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

/** Converts a heartbeat; an endpoint in an unknown condition counts as down. */
export function parseAgentReport(heartbeat: AgentHeartbeat): AgentReport {
  return {...heartbeat, endpoints: heartbeat.endpoints.map(parseEndpoint)};
}

function parseEndpoint(endpoint: EndpointState): EndpointReport {
  const state = isCondition(endpoint.state) ? endpoint.state : 'down';
  return {...endpoint, state};
}
