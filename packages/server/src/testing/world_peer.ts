/** An agent as an entry of a test world reaches it over a faulty network. */
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

/** One life of an agent. */
export interface AgentLife {
  readonly incarnation: string;
  readonly runs: AgentRuns;
  isAlive: boolean;
}

/** The two ends of a connection of a test world. */
export interface WorldLink {
  readonly network: VirtualNetwork;
  readonly entry: string;
  readonly agent: string;
  /** Returns the agent's present life. */
  getLife(): AgentLife;
}

/** The part of an agent that attempts use. */
export type RunPeer = Pick<
  AgentPeer,
  'startRun' | 'resumeRun' | 'revokeRun' | 'acknowledgeRun'
>;

/** Builds an entry's connection to an agent. */
export function createWorldPeer(link: WorldLink): RunPeer {
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
      callAgent(link, life => ({
        state: encodeRunStatus(life.runs.revokeRun(request)),
        incarnation: life.incarnation,
      })),
    acknowledgeRun: (requestId, cancel, run) => {
      link.network.sendMessage(link.entry, link.agent, () => {
        link.getLife().runs.acknowledgeRun({requestId, cancel, ...run});
      });
    },
  };
}

function callAgent(
  link: WorldLink,
  handle: (life: AgentLife) => RevokeReply,
): Promise<Result<RevokeReply, ServiceError>> {
  const {network, entry, agent} = link;
  return new Promise(resolve => {
    network.sendMessage(entry, agent, () => {
      const reply = handle(link.getLife());
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
 * Opens a stream. Its opening message may be delayed, lost or doubled, but
 * reaches one life of the agent at most, as over one TCP connection.
 */
function openStream(
  link: WorldLink,
  listener: StreamListener<RunFrame>,
  start: (runs: AgentRuns, writer: MessageWriter<RunFrame>) => void,
): StreamHandle {
  const {network, entry, agent} = link;
  const closers: Array<() => void> = [];
  let servedBy: AgentLife | undefined;
  let isOver = false;
  let heardAtMs = network.readMonotonicMs();
  const endStream = (reason: string | undefined) => {
    if (isOver) return;
    isOver = true;
    network.sendMessage(entry, agent, () => {
      for (const close of closers) close();
    });
    if (reason !== undefined) listener.handleLoss(reason);
  };
  const checkSilence = () => {
    if (isOver) return;
    const quietMs = network.readMonotonicMs() - heardAtMs;
    if (quietMs >= SILENCE_TIMEOUT_MS) return endStream('silent');
    network.schedule(SILENCE_CHECK_MS, () =>
      network.runAtNode(entry, checkSilence),
    );
  };
  checkSilence();
  network.sendMessage(entry, agent, () => {
    const life = link.getLife();
    servedBy ??= life;
    if (servedBy !== life) return;
    const writer = createWriter(link, life, {
      receive: frame => {
        if (isOver) return;
        heardAtMs = network.readMonotonicMs();
        listener.receiveMessage(frame);
      },
      end: () => endStream('ended'),
    });
    closers.push(() => writer.end());
    start(life.runs, writer);
  });
  return {...CLOSED_STREAM, cancel: () => endStream(undefined)};
}

/** The entry's end of a stream. */
interface StreamEars {
  receive(frame: RunFrame): void;
  end(): void;
}

function createWriter(
  link: WorldLink,
  life: AgentLife,
  ears: StreamEars,
): MessageWriter<RunFrame> {
  const {network, entry, agent} = link;
  const listeners: Array<() => void> = [];
  let isClosed = false;
  return {
    send: frame => {
      if (isClosed || !life.isAlive) return;
      network.sendMessage(agent, entry, () => ears.receive(frame));
    },
    end: () => {
      if (isClosed) return;
      isClosed = true;
      network.sendMessage(agent, entry, () => ears.end());
      for (const listener of listeners) listener();
    },
    addCloseListener: listener => {
      if (isClosed) listener();
      else listeners.push(listener);
    },
  };
}
