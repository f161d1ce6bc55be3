/**
 * An entry that takes a silent connection for work that did not run, and
 * sends the work again. Negative control of the tests of runs.
 */
import {AgentClient, RunFrame, RunRequest} from '@sassafrasspan/nodes';

/** What the naive entry tells its caller. */
export interface NaiveResult {
  /** Outcome stated after the first silence. */
  readonly outcome: 'not-run' | 'ran';
  /** Number of dispatches. */
  readonly dispatches: number;
}

/** A plain call of an endpoint. */
export interface NaiveCall {
  readonly agentAddress: string;
  readonly endpoint: string;
  readonly method: string;
  readonly path: string;
}

/** Sends a call until a stream of it ends; silence is a reason to repeat. */
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

/** Follows a dispatch; false when its stream is lost. */
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
