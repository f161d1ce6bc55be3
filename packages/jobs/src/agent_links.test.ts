/** Tests what the coordinator makes of answers of an agent with other software. */
import {BatchScheduler, ServiceError, createError} from '@sassafrasspan/core';
import {createTestJob} from '@sassafrasspan/core/testing';
import type {PeerCall, PeerClient} from '@sassafrasspan/peers';
import {Metrics, SILENT_LOG, SYSTEM_CLOCK} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {AgentLinks} from './agent_links';

const JOB = createTestJob({id: 'j', groups: 2, size: 1, desiredGroups: 2});
const ENGINE = {
  ...{isReachable: true, versions: {m: 1}, isBusy: false},
  ...{running: 0, waiting: 0, memoryUsed: 0},
};

/** An agent that starts the runs it is ordered to, as JSON on the wire. */
class FakeAgent {
  /** Items of started runs, by run ID. */
  readonly started = new Map<string, string>();
  readonly stopped: string[] = [];
  readonly released: string[] = [];
  /** Updates in its next answer, as JSON. */
  updates = '[]';
  private sequence = 0;

  async call<T>({path, body, schema}: PeerCall<T>) {
    if (path === '/agent/commands') return this.applyOrders(body, schema);
    const {releases} = body as {releases: readonly string[]};
    this.released.push(...releases);
    await new Promise(resolve => setTimeout(resolve, 5));
    this.sequence += 1;
    const answer = {
      ...{epoch: 1, incarnation: 'a', tick: 0, sequence: this.sequence},
      ...{updates: JSON.parse(this.updates), engine: ENGINE},
    };
    const parsed = schema.safeParse(answer);
    if (!parsed.success) return err(createError('peer-lost', 'answer'));
    this.updates = '[]';
    return ok(parsed.data);
  }

  private applyOrders<T>(
    body: unknown,
    schema: PeerCall<T>['schema'],
  ): Result<T, ServiceError> {
    const {starts, stops} = body as {
      starts: ReadonlyArray<{runId: string; itemId: string}>;
      stops: readonly string[];
    };
    for (const {runId, itemId} of starts) this.started.set(runId, itemId);
    this.stopped.push(...stops);
    return ok(schema.parse({}));
  }

  /** Describes the end of a run, with one event under the given version. */
  createUpdate(runId: string, version: string): string {
    return `{"runId": "${runId}", "jobId": "j", "endpointId": "e",
      "itemId": "${this.started.get(runId)}", "software": "s", "firstEvent": 0,
      "from": 0, "events": [["text", ${version}]], "end": "completed"}`;
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let n = 0; n < 200 && !condition(); n++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  expect(condition()).toBe(true);
}

// Guards against an agent that is lost with all its runs for one odd update.
test.each(['null', '1e400', '"1"'])(
  'an update with the weight version %s costs the updates of other runs',
  async version => {
    const agent = new FakeAgent();
    let runs = 0;
    const scheduler = BatchScheduler.create({
      findBounds: () => ({
        ...{service: 's', maxAttempts: 3, retentionMs: 60_000},
        ...{runDeadlineMs: 7_500, tokensPerEvent: 1},
      }),
      epoch: 1,
      createRunId: () => `r${(runs += 1)}`,
    });
    const sendOrders = () => {
      const nowMs = SYSTEM_CLOCK.readMonotonicMs();
      for (const orders of scheduler.plan(nowMs)) void links.send(orders);
    };
    const links = AgentLinks.create({
      ...{name: 'me', epoch: 1, scheduler, clock: SYSTEM_CLOCK},
      peers: agent as unknown as PeerClient,
      log: SILENT_LOG,
      metrics: Metrics.create(),
      onChanged: () => setImmediate(sendOrders),
      onSuperseded: () => undefined,
    });
    const state = scheduler.openJob(JOB, SYSTEM_CLOCK.readMonotonicMs());
    const registration = {
      ...{endpointId: 'e', service: 's', software: 's', slots: 4},
      ...{memoryTokens: 1e6, tokensPerEvent: 1, isDraining: false},
      versions: new Map([['m', 1]]),
    };
    links.setAgents([{address: {host: 'h', port: 1}, registration}]);
    await waitUntil(() => agent.started.size === 2);
    const [odd, sound] = agent.started.keys();
    const oddItem = agent.started.get(odd) ?? '';
    const soundItem = agent.started.get(sound) ?? '';
    const updates = [
      agent.createUpdate(odd, version),
      agent.createUpdate(sound, '1'),
    ];
    agent.updates = `[${updates.join()}]`;
    await waitUntil(() => state.items.get(soundItem)?.phase === 'finished');
    await waitUntil(() => agent.stopped.includes(odd));
    await waitUntil(() => agent.released.includes(odd));
    expect(state.items.get(oddItem)?.result).toBeUndefined();
    links.stop();
  },
);
