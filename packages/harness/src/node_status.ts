/** Reads the status pages of nodes and waits for conditions. */
import {HEARTBEAT_TIMEOUT_MS} from '@sassafrasspan/core';

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** A node with a server for operators' pages. */
export interface OperatorsPage {
  readonly operatorsUrl: string;
}

/** The part of an entry's status that the harness reads. */
export interface EntryStatus {
  readonly ready: boolean;
  readonly rulesRevision: number;
  readonly agents: ReadonlyArray<{
    /** Age of the agent's last heartbeat in ms. */
    readonly ageMs: number;
    readonly report: {
      readonly endpoints: ReadonlyArray<{
        readonly name: string;
        readonly state: string;
        readonly weightVersion: number;
      }>;
    };
  }>;
}

/** Reads the status page of a node. */
export async function fetchStatus(node: OperatorsPage): Promise<EntryStatus> {
  const reply = await fetch(`${node.operatorsUrl}/status`);
  return (await reply.json()) as EntryStatus;
}

/** Returns the number of serving endpoints with a recent agent heartbeat. */
export function countServing(status: EntryStatus): number {
  const endpoints = status.agents
    .filter(agent => agent.ageMs <= HEARTBEAT_TIMEOUT_MS)
    .flatMap(agent => agent.report.endpoints);
  return endpoints.filter(endpoint => endpoint.state === 'serving').length;
}

/** Polls a condition until it is true; a check that throws counts as false. */
export async function waitUntil(
  condition: string,
  check: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if (await check().catch(() => false)) return;
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error(`timed out waiting for: ${condition}`);
}
