/**
 * A simulated endpoint: runs requests over virtual time and records what it
 * executed.
 */
import {
  EndpointDriver,
  EndpointRun,
  RandomSource,
  RunFailure,
  RunHandle,
  RunSink,
  createError,
} from '@sassafrasspan/core';
import type {VirtualNetwork} from '@sassafrasspan/core/testing';
import {ok} from 'neverthrow';

const MAX_CHUNKS = 6;
const MAX_CHUNK_DELAY_MS = 400;
const REFUSAL_PROBABILITY = 0.1;
const INCOMPLETE_PROBABILITY = 0.1;
const CRASH_PROBABILITY = 0.05;

/** One execution of a request, with the complete text that it generates. */
export interface Execution {
  readonly requestId: string;
  readonly text: string;
}

export interface SimulatedDriverOptions {
  readonly network: VirtualNetwork;
  readonly random: RandomSource;
  readonly executions: Execution[];
  /**
   * Runs a task on the agent that drives the endpoint, unless that agent has
   * been restarted in the meantime.
   */
  runAtAgent(task: () => void): void;
}

export function createSimulatedDriver(
  options: SimulatedDriverOptions,
): EndpointDriver {
  return {
    startRun: (run, sink) => startExecution(options, run, sink),
    readLoad: async () =>
      ok({
        running: 0,
        waiting: 0,
        kvUsePermille: 0,
        weightVersion: 1,
        tokensPerSecond: 0,
      }),
    sendOrder: async () => ok(undefined),
  };
}

function startExecution(
  options: SimulatedDriverOptions,
  run: EndpointRun,
  sink: RunSink,
): RunHandle {
  const {network, random, executions} = options;
  let hasEnded = false;
  const endRun = (finish: () => void) => {
    options.runAtAgent(() => {
      if (hasEnded) return;
      hasEnded = true;
      finish();
    });
  };
  if (random() < REFUSAL_PROBABILITY) {
    network.schedule(1, () => endRun(() => sink.fail(createRefusal())));
    return {cancel: () => undefined};
  }
  const chunks = createChunks(run.requestId, executions.length, random);
  executions.push({requestId: run.requestId, text: chunks.join('')});
  const ending = chooseEnding(random);
  const sentChunks = ending === undefined ? chunks : chunks.slice(0, -1);
  let delayMs = 0;
  for (const [index, chunk] of sentChunks.entries()) {
    delayMs += 1 + random() * MAX_CHUNK_DELAY_MS;
    network.schedule(delayMs, () =>
      options.runAtAgent(() => {
        if (hasEnded) return;
        if (index === 0) sink.setHead({status: 200, headers: []});
        // Weight version 1, one token per chunk.
        sink.appendData(new TextEncoder().encode(chunk), 1, 1);
      }),
    );
  }
  network.schedule(delayMs + 1, () =>
    endRun(() => {
      if (ending === undefined) sink.finish(END_REPORT);
      else sink.fail(ending);
    }),
  );
  return {cancel: () => endRun(() => sink.fail(CANCELLED))};
}

const END_REPORT = {
  finishReason: 'stop',
  promptTokens: 1,
  completionTokens: 1,
  cachedTokens: 0,
};

const CANCELLED: RunFailure = {
  error: createError('endpoint-failed', 'cancelled'),
  isCrash: false,
};

function createRefusal(): RunFailure {
  return {error: createError('endpoint-refused', 'busy'), isCrash: false};
}

function chooseEnding(random: RandomSource): RunFailure | undefined {
  const draw = random();
  if (draw < INCOMPLETE_PROBABILITY) {
    const error = createError('answer-incomplete', 'closed early');
    return {error, isCrash: false};
  }
  if (draw < INCOMPLETE_PROBABILITY + CRASH_PROBABILITY) {
    return {error: createError('endpoint-failed', 'reset'), isCrash: true};
  }
  return undefined;
}

/** Returns the chunks of a text that no other execution generates. */
function createChunks(
  requestId: string,
  executionIndex: number,
  random: RandomSource,
): string[] {
  const count = 1 + Math.floor(random() * MAX_CHUNKS);
  return Array.from({length: count}, (_unused, index) => {
    const filler = '.'.repeat(Math.floor(random() * 8));
    return `${requestId}/${executionIndex}/${index}${filler}`;
  });
}
