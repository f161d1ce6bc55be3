/**
 * Fuzzes weight swaps: the swappers of two agents control one engine, with lost
 * replies, store outages, swaps that fail partway, late orders, and agents that
 * pause and resume. The oracle compares the versions that a sample reports with
 * those that the engine used.
 */
import {
  AnswerBuffer,
  EndpointDriver,
  EngineOrder,
  PublishedVersion,
  ServiceError,
  VersionSegment,
  createError,
  createRandomSource,
} from '@sassafrasspan/core';
import {VirtualNetwork, readFuzzParameters} from '@sassafrasspan/core/testing';
import {CompletionStream} from '@sassafrasspan/engines';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import {SILENT_LOG} from '@sassafrasspan/runtime';
import fc from 'fast-check';
import {Result, err, ok} from 'neverthrow';
import {ManagedEndpoint} from './managed_endpoint';
import {EngineSwapper} from './engine_swapper';
import {FencingNumberHolder} from './fencing_number_holder';

const STEP_MS = 250;
const SETTLE_STEPS = 120;
const TOKEN = 'x';

/** Chooses the version to report for text that the engine has sent. */
type VersionLabeller = (stated: number, believed: number) => number;

const useStated: VersionLabeller = stated => stated;
/** Incorrect labeller: reports the version that the agent published last. */
const useBelieved: VersionLabeller = (_stated, believed) => believed;

/** An object store with outages and lost replies. */
class FakeStore implements ObjectStore {
  private readonly objects = new Map<string, StoredObject>();
  isDown = false;
  losesReplies = false;

  static create(): FakeStore {
    return new FakeStore();
  }

  async readObject(key: string): Promise<Result<StoredObject, ServiceError>> {
    if (this.isDown) return err(createError('platform-down', 'down'));
    return ok(this.objects.get(key) ?? {key, version: 0});
  }

  async listObjects(): Promise<Result<StoredObject[], ServiceError>> {
    return ok([...this.objects.values()]);
  }

  async writeObject(
    key: string,
    value: unknown,
    expected: number,
  ): Promise<Result<number, ServiceError>> {
    if (this.isDown) return err(createError('platform-down', 'down'));
    const current = this.objects.get(key)?.version ?? 0;
    if (current !== expected) return err(createError('conflict', 'newer'));
    this.objects.set(key, {key, version: current + 1, value});
    if (this.losesReplies) return err(createError('platform-down', 'lost'));
    return ok(current + 1);
  }

  watchObject(key: string): Promise<Result<StoredObject, ServiceError>> {
    return this.readObject(key);
  }
}

/** An engine that loads versions and generates text. */
class FakeEngine implements EndpointDriver {
  version: number | undefined = 0;
  failsNextSwap = false;
  private readonly orders: EngineOrder[] = [];
  private staged = 0;
  private newestFencing = 0;

  private constructor(private readonly checksFencing: boolean) {}

  static create(checksFencing: boolean): FakeEngine {
    return new FakeEngine(checksFencing);
  }

  startRun() {
    return {cancel: () => undefined};
  }

  async readLoad() {
    const load = {running: 0, waiting: 0, kvUsePermille: 0, tokensPerSecond: 1};
    return ok({...load, weightVersion: this.version});
  }

  async sendOrder(order: EngineOrder): Promise<Result<void, ServiceError>> {
    this.orders.push(order);
    return this.applyOrder(order);
  }

  /** Delivers the earliest order that was not repeated yet a second time. */
  repeatOrder(): void {
    const order = this.orders.shift();
    if (order !== undefined) this.applyOrder(order);
  }

  private applyOrder(order: EngineOrder): Result<void, ServiceError> {
    if (this.checksFencing && order.fencing < this.newestFencing) {
      return err(createError('conflict', 'old fencing number'));
    }
    this.newestFencing = Math.max(this.newestFencing, order.fencing);
    if (order.kind === 'stage') this.staged = order.version;
    else return this.activate(order.version);
    return ok(undefined);
  }

  private activate(version: number): Result<void, ServiceError> {
    if (this.staged !== version) {
      return err(createError('endpoint-failed', 'not staged'));
    }
    if (this.failsNextSwap) {
      this.failsNextSwap = false;
      this.version = undefined;
      return err(createError('endpoint-failed', 'failed partway'));
    }
    this.version = version;
    return ok(undefined);
  }
}

/** One generation: versions that the engine used, and the answer. */
interface FuzzRun {
  readonly truth: number[];
  readonly answer: AnswerBuffer;
  readonly stream: CompletionStream;
}

/** One agent's view of the engine. */
interface FuzzAgent {
  readonly endpoint: ManagedEndpoint;
  readonly swapper: EngineSwapper;
  isPaused: boolean;
}

/** Two agents, one engine and one object store. */
class SwapModel {
  readonly network = VirtualNetwork.create(createRandomSource(1));
  readonly store = FakeStore.create();
  readonly engine: FakeEngine;
  readonly agents: FuzzAgent[];
  private runs: FuzzRun[] = [];
  private published = 0;
  readonly violations: string[] = [];

  private constructor(
    private readonly checksFencing: boolean,
    private readonly labeller: VersionLabeller,
  ) {
    this.engine = FakeEngine.create(checksFencing);
    this.agents = [this.createAgent('first'), this.createAgent('second')];
  }

  static create(checksFencing: boolean, labeller: VersionLabeller): SwapModel {
    return new SwapModel(checksFencing, labeller);
  }

  private createAgent(holder: string): FuzzAgent {
    const endpoint = ManagedEndpoint.create(
      {
        name: 'lm-1',
        service: 'lm',
        kind: 'engine',
        url: 'http://127.0.0.1:1',
        slots: 4,
        maxQueued: 4,
        fencing: this.checksFencing ? 'checks' : 'ignores',
      },
      this.network,
      this.engine,
    );
    const clock = this.network;
    const swapper = EngineSwapper.create({
      endpoint,
      clock,
      log: SILENT_LOG,
      fencing: FencingNumberHolder.create({
        endpoint: 'lm-1',
        holder,
        checksFencing: this.checksFencing,
        store: this.store,
        clock,
        log: SILENT_LOG,
      }),
      formatSourceUrl: () => '',
      computeDelayMs: () => 0,
    });
    return {endpoint, swapper, isPaused: false};
  }

  /** Publishes the next version to every agent that is not paused. */
  publishNext(): void {
    this.published += 1;
    this.notifyAgents();
  }

  private notifyAgents(): void {
    const published: PublishedVersion = {
      service: 'lm',
      version: this.published,
      weightsKey: 'k',
      operationId: 'o',
      publishedAtMs: 0,
    };
    for (const agent of this.agents) {
      if (!agent.isPaused) agent.swapper.setPublishedVersion(published);
    }
  }

  startRun(): void {
    const answer = AnswerBuffer.create();
    const stream = CompletionStream.create({
      setHead: () => undefined,
      appendData: (data, stated, tokens) => {
        const believed = this.published;
        answer.appendData(data, this.labeller(stated, believed), tokens);
      },
      finish: report => answer.finish(report),
      fail: failure => answer.fail(failure.error),
    });
    this.runs.push({truth: [], answer, stream});
  }

  /** Generates one token for each run and reports the engine's version. */
  generateTokens(): void {
    for (const run of this.runs) {
      if (this.engine.version === undefined) return;
      run.truth.push(this.engine.version);
      const event = {
        choices: [{text: TOKEN, finish_reason: null}],
        weight_version: this.engine.version,
      };
      sendEvent(run.stream, JSON.stringify(event));
    }
  }

  /** Finishes every run and checks the versions that its answer reports. */
  finishRuns(): void {
    const usage = {prompt_tokens: 1, completion_tokens: 1};
    for (const run of this.runs) {
      sendEvent(run.stream, JSON.stringify({choices: [], usage}));
      sendEvent(run.stream, '[DONE]');
      run.stream.endStream();
      this.checkRun(run);
    }
    this.runs = [];
  }

  private checkRun(run: FuzzRun): void {
    const final = run.answer.getFinalFrame();
    if (final?.type !== 'end') return;
    const reported = final.end.segments.flatMap(listVersions);
    if (JSON.stringify(reported) === JSON.stringify(run.truth)) return;
    this.violations.push(
      `reported ${reported.join()}, used ${run.truth.join()}`,
    );
  }

  /** Advances the clock; agents that are not paused do their next step. */
  async passTime(): Promise<void> {
    this.network.advanceMs(STEP_MS);
    this.notifyAgents();
    for (const agent of this.agents) {
      if (agent.isPaused) continue;
      await agent.endpoint.refreshLoad();
      await agent.swapper.advance();
    }
  }

  /** Ends all faults; checks that the engine reaches the newest version. */
  async settle(): Promise<void> {
    this.store.isDown = false;
    this.store.losesReplies = false;
    for (const agent of this.agents) agent.isPaused = false;
    for (let step = 0; step < SETTLE_STEPS; step++) await this.passTime();
    this.finishRuns();
    if (this.engine.version === this.published) return;
    this.violations.push(
      `engine at ${this.engine.version}, published ${this.published}`,
    );
  }
}

function sendEvent(stream: CompletionStream, data: string): void {
  stream.acceptBytes(new TextEncoder().encode(`data: ${data}\n\n`));
}

function listVersions(segment: VersionSegment): number[] {
  const length = segment.to - segment.from;
  return new Array<number>(length).fill(segment.version);
}

/** Steps of a scenario, by name. */
const STEPS: Readonly<
  Record<string, (model: SwapModel) => Promise<void> | void>
> = {
  publish: model => model.publishNext(),
  run: model => model.startRun(),
  generate: model => model.generateTokens(),
  finish: model => model.finishRuns(),
  pass: model => model.passTime(),
  failSwap: model => {
    model.engine.failsNextSwap = true;
  },
  lateOrder: model => model.engine.repeatOrder(),
  platformDown: model => {
    model.store.isDown = true;
  },
  platformUp: model => {
    model.store.isDown = false;
  },
  loseReplies: model => {
    model.store.losesReplies = true;
  },
  keepReplies: model => {
    model.store.losesReplies = false;
  },
  pauseFirst: model => {
    model.agents[0].isPaused = true;
  },
  wakeFirst: model => {
    model.agents[0].isPaused = false;
  },
  pauseSecond: model => {
    model.agents[1].isPaused = true;
  },
  wakeSecond: model => {
    model.agents[1].isPaused = false;
  },
};

const STEP_NAMES = fc.array(
  fc.oneof(
    {weight: 4, arbitrary: fc.constantFrom('pass', 'generate', 'run')},
    {weight: 3, arbitrary: fc.constantFrom(...Object.keys(STEPS))},
  ),
  {minLength: 5, maxLength: 60},
);

async function listViolations(
  names: readonly string[],
  checksFencing: boolean,
  labeller: VersionLabeller,
): Promise<string[]> {
  const model = SwapModel.create(checksFencing, labeller);
  for (const name of names) await STEPS[name](model);
  await model.settle();
  return model.violations;
}

test('samples report the versions that produced them', async () => {
  await fc.assert(
    fc.asyncProperty(STEP_NAMES, fc.boolean(), async (names, checks) => {
      expect(await listViolations(names, checks, useStated)).toEqual([]);
    }),
    readFuzzParameters(20261203, 300),
  );
});

test('control: reporting the believed version is detected', async () => {
  const names = ['run', 'generate', 'publish', 'generate', 'finish'];
  const violations = await listViolations(names, true, useBelieved);
  expect(violations).toMatchSnapshot();
});
