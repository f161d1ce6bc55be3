/** Reads the status pages of nodes and waits for conditions. */

import {HEARTBEAT_TIMEOUT_MS} from '@sassafrasspan/core';

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** A node that has a page for operators. */
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

/** Reads the status page of an entry. */
export async function fetchStatus(node: OperatorsPage): Promise<EntryStatus> {
  const reply = await fetch(`${node.operatorsUrl}/status`);
  return (await reply.json()) as EntryStatus;
}

/** Returns how many endpoints an entry may send work to. */
export function countServing(status: EntryStatus): number {
  const endpoints = status.agents
    .filter(agent => agent.ageMs <= HEARTBEAT_TIMEOUT_MS)
    .flatMap(agent => agent.report.endpoints);
  return endpoints.filter(endpoint => endpoint.state === 'serving').length;
}

/** Waits until a condition holds; throws when it does not in time. */
export async function waitUntil(
  what: string,
  check: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if (await check().catch(() => false)) return;
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error(`timed out: ${what}`);
}
