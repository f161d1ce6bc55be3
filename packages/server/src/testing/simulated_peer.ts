/** An entry's client of an agent over a simulated, faulty network. */
import {ServiceError, createError} from '@sassafrasspan/core';
import type {VirtualNetwork} from '@sassafrasspan/core/testing';
import {
  AgentPeer,
  CLOSED_STREAM,
  MessageWriter,
  RevokeReply,
  RunFrame,
  SILENCE_TIMEOUT_MS,
  StreamHandle,
  StreamListener,
  encodeRunStatus,
} from '@sassafrasspan/nodes';
import {Result, err, ok} from 'neverthrow';
import type {AgentRuns} from '../agent/agent_runs';

const UNARY_TIMEOUT_MS = 1_500;
const SILENCE_CHECK_MS = 100;

export interface AgentIncarnation {
  readonly incarnation: string;
  readonly runs: AgentRuns;
  isAlive: boolean;
}

/** The two ends of a simulated connection. */
export interface SimulatedLink {
  readonly network: VirtualNetwork;
  readonly entry: string;
  readonly agent: string;
  /** Returns the agent's current incarnation. */
  getIncarnation(): AgentIncarnation;
}

/** The calls that attempts make to an agent. */
export type RunPeer = Pick<
  AgentPeer,
  'startRun' | 'resumeRun' | 'revokeRun' | 'acknowledgeRun'
>;

export function createSimulatedPeer(link: SimulatedLink): RunPeer {
  return {
    startRun: (request, listener) =>
      openStream(link, listener, (runs, writer) =>
        runs.runRequest(request, writer),
      ),
    resumeRun: (request, listener) =>
      openStream(link, listener, (runs, writer) =>
        runs.resumeRun(request, writer),
      ),
    revokeRun: request =>
      callAgent(link, current => ({
        state: encodeRunStatus(current.runs.revokeRun(request)),
        incarnation: current.incarnation,
      })),
    acknowledgeRun: (requestId, cancel, run) => {
      link.network.sendMessage(link.entry, link.agent, () => {
        link.getIncarnation().runs.acknowledgeRun({requestId, cancel, ...run});
      });
    },
  };
}

function callAgent(
  link: SimulatedLink,
  handle: (agentIncarnation: AgentIncarnation) => RevokeReply,
): Promise<Result<RevokeReply, ServiceError>> {
  const {network, entry, agent} = link;
  return new Promise(resolve => {
    network.sendMessage(entry, agent, () => {
      const reply = handle(link.getIncarnation());
      network.sendMessage(agent, entry, () => resolve(ok(reply)));
    });
    network.schedule(UNARY_TIMEOUT_MS, () =>
      network.runAtNode(entry, () =>
        resolve(err(createError('agent-lost', 'no reply'))),
      ),
    );
  });
}

/**
 * Opens a stream. Its opening message may be delayed, lost or duplicated, but
 * reaches at most one incarnation of the agent, as over one TCP connection.
 */
function openStream(
  link: SimulatedLink,
  listener: StreamListener<RunFrame>,
  start: (runs: AgentRuns, writer: MessageWriter<RunFrame>) => void,
): StreamHandle {
  const {network, entry, agent} = link;
  const closers: Array<() => void> = [];
  let servingAgent: AgentIncarnation | undefined;
  let hasEnded = false;
  let lastContactAtMs = network.readMonotonicMs();
  const endStream = (reason: string | undefined) => {
    if (hasEnded) return;
    hasEnded = true;
    network.sendMessage(entry, agent, () => {
      for (const close of closers) close();
    });
    if (reason !== undefined) listener.handleLoss(reason);
  };
  const checkSilence = () => {
    if (hasEnded) return;
    const silentMs = network.readMonotonicMs() - lastContactAtMs;
    if (silentMs >= SILENCE_TIMEOUT_MS) return endStream('silent');
    network.schedule(SILENCE_CHECK_MS, () =>
      network.runAtNode(entry, checkSilence),
    );
  };
  checkSilence();
  network.sendMessage(entry, agent, () => {
    const current = link.getIncarnation();
    servingAgent ??= current;
    if (servingAgent !== current) return;
    const writer = createWriter(link, current, {
      receive: frame => {
        if (hasEnded) return;
        lastContactAtMs = network.readMonotonicMs();
        listener.receiveMessage(frame);
      },
      end: () => endStream('ended'),
    });
    closers.push(() => writer.end());
    start(current.runs, writer);
  });
  return {...CLOSED_STREAM, cancel: () => endStream(undefined)};
}

/** The entry's end of a stream. */
interface StreamReceiver {
  receive(frame: RunFrame): void;
  end(): void;
}

function createWriter(
  link: SimulatedLink,
  sender: AgentIncarnation,
  receiver: StreamReceiver,
): MessageWriter<RunFrame> {
  const {network, entry, agent} = link;
  const listeners: Array<() => void> = [];
  let isClosed = false;
  return {
    send: frame => {
      if (isClosed || !sender.isAlive) return;
      network.sendMessage(agent, entry, () => receiver.receive(frame));
    },
    end: () => {
      if (isClosed) return;
      isClosed = true;
      network.sendMessage(agent, entry, () => receiver.end());
      for (const listener of listeners) listener();
    },
    addCloseListener: listener => {
      if (isClosed) listener();
      else listeners.push(listener);
    },
  };
}
