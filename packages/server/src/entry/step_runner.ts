/**
 * Generates and scores the samples of one step at its home entry.
 */
import {
  AnswerEnd,
  ErrorKind,
  RulesHolder,
  Sample,
  ServiceError,
  SlotWork,
  StepState,
  createError,
  formatStepName,
  hashText,
} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {ScoringService} from '@sassafrasspan/scoring';
import {Result, err, ok} from 'neverthrow';
import type {DispatchRequest, Dispatcher} from './dispatcher';

const GENERATION_BUDGET_MS = 600_000;
const RETRY_DELAY_MS = 200;

/** What a runner is built from. */
export interface StepRunnerOptions {
  readonly state: StepState;
  readonly dispatcher: Dispatcher;
  readonly scoring: ScoringService;
  readonly rules: RulesHolder;
  readonly log: EventLog;
  /** Returns how many samples may be generated at once. */
  readConcurrency(): number;
}

/** A generated answer. */
interface Generated {
  readonly text: string;
  readonly end: AnswerEnd;
}

/** Runs one step. */
export class StepRunner {
  private isStopped = false;

  private constructor(private readonly options: StepRunnerOptions) {}

  /** Builds a runner that has not started. */
  static create(options: StepRunnerOptions): StepRunner {
    return new StepRunner(options);
  }

  /** Returns the state of the step. */
  getState(): StepState {
    return this.options.state;
  }

  /** Starts work for slots that need a sample. */
  advance(): void {
    if (this.isStopped) return;
    const {state} = this.options;
    const limit = this.options.readConcurrency() - state.countInFlight();
    for (const work of state.takeWork(Math.max(0, limit))) {
      void this.fillSlot(work);
    }
  }

  /** Starts no more work. */
  stop(): void {
    this.isStopped = true;
  }

  private async fillSlot(work: SlotWork): Promise<void> {
    const sample = await this.createSample(work);
    if (sample.isOk()) {
      this.options.state.addSample(sample.value);
      return this.advance();
    }
    const {kind, detail} = sample.error;
    const {slot} = work;
    this.options.log.writeEvent('sample-failed', {slot, kind, detail});
    setTimeout(() => {
      this.options.state.releaseSlot(slot);
      this.advance();
    }, this.readDelayMs(sample.error));
  }

  private readDelayMs(error: ServiceError): number {
    return error.retryAfterMs ?? RETRY_DELAY_MS;
  }

  private async createSample(
    work: SlotWork,
  ): Promise<Result<Sample, ServiceError>> {
    const generated = await this.generate(work);
    if (generated.isErr()) return err(generated.error);
    const {text, end} = generated.value;
    const {prompt, slot, group, index} = work;
    const score = await this.options.scoring.scoreSample({prompt, text});
    return score.map(value => ({
      slot,
      group,
      index,
      text,
      score: value,
      finishReason: end.finishReason,
      segments: [...end.segments],
    }));
  }

  private generate(work: SlotWork): Promise<Result<Generated, ServiceError>> {
    return new Promise(resolve => {
      let chunks: Uint8Array[] = [];
      this.options.dispatcher.dispatch(this.createRequest(work), {
        setHead: () => undefined,
        appendChunk: chunk => {
          chunks.push(chunk.data);
        },
        finish: end => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve(ok({text, end}));
        },
        fail: error => resolve(err(error)),
        reset: () => {
          chunks = [];
          return true;
        },
      });
    });
  }

  private createRequest(work: SlotWork): DispatchRequest {
    const {state} = this.options;
    const {customer, service, trainer, step} = state;
    const name = formatStepName(trainer, step);
    const book = this.options.rules.getBook();
    return {
      requestId: `step/${name}/${work.slot}/${work.generation}`,
      customer,
      service,
      work: {type: 'completion', bodyJson: formatBody(state, work)},
      isIdempotent: true,
      idempotencyKey: '',
      fingerprint: `${name}/${work.slot}`,
      prefixKey: hashText(work.prompt).toString(36),
      expectedTokens: work.expectedTokens,
      budgetMs: GENERATION_BUDGET_MS,
      priority: book?.getPriority(customer, service) ?? 0,
    };
  }
}

function formatBody(state: StepState, work: SlotWork): string {
  return JSON.stringify({
    model: state.service,
    prompt: work.prompt,
    max_tokens: work.maxTokens,
    temperature: state.description.temperature,
    seed: work.index,
  });
}

/** A scoring service that settings do not name. */
export function createMissingScoring(name: string): ScoringService {
  const kind: ErrorKind = 'not-found';
  const error = createError(kind, `no scoring service ${name} in the settings`);
  return {scoreSample: async () => err(error)};
}
