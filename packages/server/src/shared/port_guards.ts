/** Bounds of the connections of a node's HTTP ports. */
import {
  EventLog,
  GuardOptions,
  Metrics,
  SYSTEM_CLOCK,
  readDescriptorLimit,
} from '@sassafrasspan/runtime';

/** Part of the descriptors that callers may use; the rest is for the endpoints, the
 * other nodes and the platform. */
const CALLERS_SHARE = 0.4;
/** Connections of a port for operators. */
const MAX_OPERATORS_CONNECTIONS = 64;

/** Ports by name, and the most connections that each may have. */
const MAX_CONNECTIONS: Readonly<Record<string, () => number>> = {
  callers: () => Math.floor(readDescriptorLimit() * CALLERS_SHARE),
  operators: () => MAX_OPERATORS_CONNECTIONS,
};

/** Returns the bounds of one port. */
export function createPortGuard(
  port: 'callers' | 'operators',
  log: EventLog,
  metrics: Metrics,
): GuardOptions {
  const maxConnections = MAX_CONNECTIONS[port]();
  return {port, maxConnections, clock: SYSTEM_CLOCK, log, metrics};
}
