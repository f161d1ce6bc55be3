/**
 * An entry of a rollout simulation. The choice of a step's owner, the step
 * state and the policy are production code; messages use the virtual network.
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
const MAX_POLLS = 12;
const MAX_SAMPLES = 2;
const GROUP_SIZE = 4;
const TOKENS_PER_SECOND = 100;

/** Operations of a step's owner, implemented in production by `StepState`. */
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

/** Creates the state with which an incarnation of an entry owns the step. */
export type CreateStepOwner = () => StepOwner;

export interface RolloutEntryOptions {
  readonly name: string;
  readonly network: VirtualNetwork;
  readonly agent: RolloutAgent;
  readonly createOwner: CreateStepOwner;
  findEntry(name: string): RolloutEntry | undefined;
}

type PullListener = (reply: PullReply | 'not-found') => void;

/** An entry that may own the simulated step. */
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

  /** The entry does not own the step until `openStep` is called. */
  static create(options: RolloutEntryOptions): RolloutEntry {
    return new RolloutEntry(options);
  }

  /** Sets the entries that this entry believes to be alive. */
  setAliveEntries(names: readonly string[]): void {
    this.aliveEntries = names;
  }

  /** Starts a new incarnation of the entry, which has no state. */
  restart(): void {
    this.owner = undefined;
    this.incarnation += 1;
    this.version = 0;
  }

  /** Records a published weight version. */
  observeVersion(version: number): void {
    this.version = Math.max(this.version, version);
    this.owner?.observeVersion(this.version);
  }

  /** Opens the step here when the trainer has sent its description. */
  openStep(): void {
    if (this.owner !== undefined) return;
    const owner = this.options.createOwner();
    this.owner = owner;
    owner.observeVersion(this.version);
    this.adoptAnswers(owner);
  }

  /** Answers a pull here, or forwards it to the owner in this entry's view. */
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
    const {owner} = this;
    if (owner === undefined) return respond('not-found');
    const openedPull = owner.openPull({
      cursor: pull.cursor,
      trainerVersion: pull.version,
      maxSamples: MAX_SAMPLES,
    });
    if (openedPull.isOk()) {
      this.pollPull(owner, openedPull.value, respond, MAX_POLLS);
    }
    this.advance();
  }

  /** Holds a pull open until there are samples or the polls are used up. */
  private pollPull(
    owner: StepOwner,
    pull: AcceptedPull,
    respond: PullListener,
    polls: number,
  ): void {
    if (this.owner !== owner) return;
    const reply = owner.answerPull(pull);
    this.cancelLosers(owner);
    const hasUpdates = reply.samples.length > 0 || reply.complete;
    if (hasUpdates || polls === 0) return respond(reply);
    this.options.network.schedule(POLL_MS, () => {
      this.advance();
      this.pollPull(owner, pull, respond, polls - 1);
    });
  }

  /** Requests unacknowledged answers from the agent before starting copies. */
  private adoptAnswers(owner: StepOwner): void {
    const {agent, network} = this.options;
    this.isAdopting = true;
    const endAdoption = () => {
      this.isAdopting = false;
      this.advance();
    };
    network.schedule(ADOPTION_MS, endAdoption);
    this.sendTo(this.name, agent.name, () => {
      const samples = agent.listUnacknowledged();
      this.sendTo(agent.name, this.name, () => {
        for (const sample of samples) this.adoptSample(owner, sample);
      });
    });
  }

  private adoptSample(owner: StepOwner, answer: UnacknowledgedSample): void {
    if (this.owner !== owner || !owner.needsCopy(answer.slot)) return;
    const {copyId} = owner.startCopy(answer.slot, this.readNowMs());
    owner.addSample(copyId, createSample(answer), 1);
  }

  /** Starts the copies that the policy plans. */
  private advance(): void {
    const {owner, options} = this;
    if (owner === undefined || this.isAdopting) return;
    const nowMs = this.readNowMs();
    const view = {
      nowMs,
      pool: {
        slots: POOL_SLOTS,
        freeSlots: Math.max(0, POOL_SLOTS - owner.countInFlight()),
        servedVersion: options.agent.getVersion(),
        versionIntervalMs: undefined,
        sinceVersionMs: 0,
        tokensPerSecond: TOKENS_PER_SECOND,
      },
      steps: [owner.describeDemand(1, nowMs)],
    };
    for (const start of ROLLOUT_POLICIES.current.planStarts(view)) {
      this.startCopy(owner, start.slot);
    }
  }

  /** Starts another copy of every slot that is being generated. */
  startCopies(): void {
    const {owner} = this;
    if (owner === undefined) return;
    const {running} = owner.describeDemand(1, this.readNowMs());
    for (const {slot} of running) this.startCopy(owner, slot);
  }

  private startCopy(owner: StepOwner, slot: number): void {
    const {agent, network} = this.options;
    const {copyId} = owner.startCopy(slot, this.readNowMs());
    const runId = `${this.name}/${this.incarnation}/${copyId}`;
    this.sendTo(this.name, agent.name, () =>
      agent.startRun(runId, slot, sample =>
        this.sendTo(agent.name, this.name, () =>
          this.receiveSample(owner, copyId, sample),
        ),
      ),
    );
    network.schedule(COPY_TIMEOUT_MS, () =>
      owner.failCopy(copyId, this.readNowMs()),
    );
  }

  private receiveSample(
    owner: StepOwner,
    copyId: number,
    answer: UnacknowledgedSample,
  ): void {
    if (this.owner !== owner) return;
    const hasWon = owner.addSample(copyId, createSample(answer), 1);
    if (!hasWon) this.options.agent.acknowledgeRun(answer.runId);
    this.cancelLosers(owner);
    this.advance();
  }

  private cancelLosers(owner: StepOwner): void {
    for (const {copyId} of owner.takeObsolete()) {
      const runId = `${this.name}/${this.incarnation}/${copyId}`;
      this.options.agent.acknowledgeRun(runId);
    }
  }

  private readNowMs(): number {
    return this.options.network.readMonotonicMs();
  }
}

function createSample(answer: UnacknowledgedSample): Sample {
  const {slot, segments} = answer;
  return {
    slot,
    group: Math.floor(slot / GROUP_SIZE),
    index: slot % GROUP_SIZE,
    text: answer.runId,
    score: 0,
    finishReason: 'stop',
    segments,
  };
}
