/**
 * An entry of a rollout world: the product's home choice, step state and
 * policy, joined by messages of the virtual network.
 */
import {ROLLOUT_POLICIES} from '../rollout/step_policy';
import type {PullReply, Sample} from '../rollout/step_schemas';
import type {AcceptedPull, PullRequest, StepState} from '../rollout/step_state';
import {findOwner} from '../shared/hash';
import type {UnacknowledgedSample, RolloutAgent} from './rollout_agent';
import type {SentPull} from './rollout_simulation';
import type {VirtualNetwork} from './virtual_network';

const STEP_NAME = 'briefs/step-1';
const POOL_SLOTS = 8;
const COPY_TIMEOUT_MS = 4_000;
const ADOPTION_MS = 300;
const POLL_MS = 50;
const POLLS = 12;
const MAX_SAMPLES = 2;
const GROUP_SIZE = 4;
const TOKENS_PER_SECOND = 100;

/** What a home does with its step; the product's is `StepState`. */
export interface StepOwner extends Pick<
  StepState,
  | 'describeDemand'
  | 'startCopy'
  | 'needsCopy'
  | 'countInFlight'
  | 'failCopy'
  | 'takeObsolete'
  | 'observeVersion'
> {
  addSample(copyId: number, sample: Sample, tokens: number): boolean;
  openPull(request: PullRequest): ReturnType<StepState['openPull']>;
  answerPull(pull: AcceptedPull): PullReply;
}

/** Builds the home of the step in one life of an entry. */
export type CreateStepOwner = () => StepOwner;

/** What an entry is built from. */
export interface RolloutEntryOptions {
  readonly name: string;
  readonly network: VirtualNetwork;
  readonly agent: RolloutAgent;
  readonly createOwner: CreateStepOwner;
  findEntry(name: string): RolloutEntry | undefined;
}

type PullListener = (reply: PullReply | 'not-found') => void;

/** One entry. */
export class RolloutEntry {
  readonly name: string;
  private owner: StepOwner | undefined;
  private incarnation = 1;
  private version = 0;
  private isAdopting = false;
  private aliveEntries: readonly string[] = [];

  private constructor(private readonly options: RolloutEntryOptions) {
    this.name = options.name;
  }

  /** Builds an entry that knows no step. */
  static create(options: RolloutEntryOptions): RolloutEntry {
    return new RolloutEntry(options);
  }

  /** Takes the names of the entries that this one believes to be alive. */
  setAliveEntries(names: readonly string[]): void {
    this.aliveEntries = names;
  }

  /** Ends this life of the entry and begins another. */
  restart(): void {
    this.owner = undefined;
    this.incarnation += 1;
    this.version = 0;
  }

  /** Takes in a published version. */
  observeVersion(version: number): void {
    this.version = Math.max(this.version, version);
    this.owner?.observeVersion(this.version);
  }

  /** Takes the description, which the trainer puts. */
  openStep(): void {
    if (this.owner !== undefined) return;
    const home = this.options.createOwner();
    this.owner = home;
    home.observeVersion(this.version);
    this.adoptAnswers(home);
  }

  /** Answers a pull, here or at the home that this entry believes in. */
  receivePull(
    pull: SentPull,
    respond: PullListener,
    isForwarded = false,
  ): void {
    const names = [
      this.name,
      ...this.aliveEntries.filter(name => name !== this.name),
    ];
    const ownerName = findOwner(STEP_NAME, names);
    const peer = isForwarded
      ? undefined
      : this.options.findEntry(ownerName ?? '');
    if (peer === undefined || peer === this) {
      return this.answerHere(pull, respond);
    }
    this.options.network.sendMessage(this.name, peer.name, () =>
      peer.receivePull(
        pull,
        reply => this.sendTo(peer.name, this.name, () => respond(reply)),
        true,
      ),
    );
  }

  private sendTo(from: string, to: string, receive: () => void): void {
    this.options.network.sendMessage(from, to, receive);
  }

  private answerHere(pull: SentPull, respond: PullListener): void {
    const {owner: home} = this;
    if (home === undefined) return respond('not-found');
    const opened = home.openPull({
      cursor: pull.cursor,
      trainerVersion: pull.version,
      maxSamples: MAX_SAMPLES,
    });
    if (opened.isOk()) this.pollPull(home, opened.value, respond, POLLS);
    this.advance();
  }

  /** Holds a pull open until there is something to deliver. */
  private pollPull(
    home: StepOwner,
    pull: AcceptedPull,
    respond: PullListener,
    polls: number,
  ): void {
    if (this.owner !== home) return;
    const reply = home.answerPull(pull);
    this.cancelLosers(home);
    const hasUpdates = reply.samples.length > 0 || reply.complete;
    if (hasUpdates || polls === 0) return respond(reply);
    this.options.network.schedule(POLL_MS, () => {
      this.advance();
      this.pollPull(home, pull, respond, polls - 1);
    });
  }

  /** Asks the agent for kept answers before anything is generated. */
  private adoptAnswers(home: StepOwner): void {
    const {agent, network} = this.options;
    this.isAdopting = true;
    const endAdoption = () => {
      this.isAdopting = false;
      this.advance();
    };
    network.schedule(ADOPTION_MS, endAdoption);
    this.sendTo(this.name, agent.name, () => {
      const kept = agent.listUnacknowledged();
      this.sendTo(agent.name, this.name, () => {
        for (const sample of kept) this.adoptSample(home, sample);
      });
    });
  }

  private adoptSample(home: StepOwner, kept: UnacknowledgedSample): void {
    if (this.owner !== home || !home.needsCopy(kept.slot)) return;
    const {copyId} = home.startCopy(kept.slot, this.readNowMs());
    home.addSample(copyId, createSample(kept), 1);
  }

  /** Starts what the policy chooses. */
  private advance(): void {
    const {owner: home, options} = this;
    if (home === undefined || this.isAdopting) return;
    const nowMs = this.readNowMs();
    const view = {
      nowMs,
      pool: {
        slots: POOL_SLOTS,
        freeSlots: Math.max(0, POOL_SLOTS - home.countInFlight()),
        servedVersion: options.agent.getVersion(),
        versionIntervalMs: undefined,
        sinceVersionMs: 0,
        tokensPerSecond: TOKENS_PER_SECOND,
      },
      steps: [home.describeDemand(1, nowMs)],
    };
    for (const start of ROLLOUT_POLICIES.current.planStarts(view)) {
      this.startCopy(home, start.slot);
    }
  }

  /** Starts a second copy of every slot that has one. */
  startCopies(): void {
    const {owner: home} = this;
    if (home === undefined) return;
    const {running} = home.describeDemand(1, this.readNowMs());
    for (const {slot} of running) this.startCopy(home, slot);
  }

  private startCopy(home: StepOwner, slot: number): void {
    const {agent, network} = this.options;
    const {copyId} = home.startCopy(slot, this.readNowMs());
    const runId = `${this.name}/${this.incarnation}/${copyId}`;
    this.sendTo(this.name, agent.name, () =>
      agent.startRun(runId, slot, sample =>
        this.sendTo(agent.name, this.name, () =>
          this.receiveSample(home, copyId, sample),
        ),
      ),
    );
    network.schedule(COPY_TIMEOUT_MS, () =>
      home.failCopy(copyId, this.readNowMs()),
    );
  }

  private receiveSample(
    home: StepOwner,
    copyId: number,
    kept: UnacknowledgedSample,
  ): void {
    if (this.owner !== home) return;
    const hasWon = home.addSample(copyId, createSample(kept), 1);
    if (!hasWon) this.options.agent.acknowledgeRun(kept.runId);
    this.cancelLosers(home);
    this.advance();
  }

  private cancelLosers(home: StepOwner): void {
    for (const {copyId} of home.takeObsolete()) {
      const runId = `${this.name}/${this.incarnation}/${copyId}`;
      this.options.agent.acknowledgeRun(runId);
    }
  }

  private readNowMs(): number {
    return this.options.network.readMonotonicMs();
  }
}

function createSample(kept: UnacknowledgedSample): Sample {
  const {slot, segments} = kept;
  return {
    slot,
    group: Math.floor(slot / GROUP_SIZE),
    index: slot % GROUP_SIZE,
    text: kept.runId,
    score: 0,
    finishReason: 'stop',
    segments,
  };
}
