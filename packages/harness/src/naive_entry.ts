/**
 * A naive entry: if a connection goes silent, it assumes that the work did not
 * run and sends it again. Negative control for the tests of runs.
 */
import {AgentClient, RunFrame, RunRequest} from '@sassafrasspan/nodes';

/** The result that the naive entry reports to its caller. */
export interface NaiveResult {
  /** 'not-run' after more than one dispatch, though the first may have run. */
  readonly outcome: 'not-run' | 'ran';
  readonly dispatches: number;
}

/** A call without a body to a plain endpoint. */
export interface NaiveCall {
  readonly agentAddress: string;
  readonly endpoint: string;
  readonly method: string;
  readonly path: string;
}

/** Dispatches a call again and again until a stream delivers its end. */
export async function dispatchNaively(call: NaiveCall): Promise<NaiveResult> {
  const agent = AgentClient.create(call.agentAddress);
  const request = await createRequest(agent, call);
  for (let attempt = 1; ; attempt++) {
    const isEnded = await waitForEnd(agent, {...request, attempt});
    if (!isEnded) continue;
    agent.close();
    return {outcome: attempt > 1 ? 'not-run' : 'ran', dispatches: attempt};
  }
}

async function createRequest(
  agent: AgentClient,
  call: NaiveCall,
): Promise<RunRequest> {
  const heartbeat = await new Promise<{
    incarnation: string;
    tick: number;
    rulesRevision: number;
  }>((resolve, reject) => {
    const handle = agent.watch(
      {node: 'naive', rulesRevision: 0},
      {
        receiveMessage: message => {
          const isReady = message.endpoints[0]?.state === 'serving';
          if (!isReady || message.rulesRevision === 0) return;
          handle.cancel();
          resolve(message);
        },
        handleLoss: reason => reject(new Error(reason)),
      },
    );
  });
  return {
    requestId: `naive-${call.path}`,
    attempt: 1,
    endpoint: call.endpoint,
    incarnation: heartbeat.incarnation,
    rulesRevision: heartbeat.rulesRevision,
    seenTick: heartbeat.tick,
    budgetMs: 20_000,
    customer: 'kyklos',
    priority: 0,
    idempotent: false,
    idempotencyKey: '',
    fingerprint: call.path,
    expectedTokens: 0,
    minVersion: 0,
    entry: 'naive',
    prefixKey: '',
    work: {
      $case: 'http',
      value: {
        method: call.method,
        path: call.path,
        headers: [],
        body: Buffer.alloc(0),
      },
    },
  };
}

/**
 * Returns whether a dispatch reached its end; false if the agent failed or
 * refused it, or the stream was lost.
 */
function waitForEnd(agent: AgentClient, request: RunRequest): Promise<boolean> {
  return new Promise(resolve => {
    const handle = agent.startRun(request, {
      receiveMessage: (message: RunFrame) => {
        const name = message.frame?.$case;
        if (name !== 'end' && name !== 'failed' && name !== 'refused') return;
        handle.cancel();
        resolve(name === 'end');
      },
      handleLoss: () => resolve(false),
    });
  });
}
