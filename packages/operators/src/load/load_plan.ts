/** The calls that the load command makes: which, and when, from a seed. */
import {createRandomSource} from '@sassafrasspan/core';

const MS_PER_SECOND = 1_000;
const PROMPT_COUNT = 16;

/** What callers ask for. */
export interface CallLoad {
  /** Calls started each second, on average. */
  readonly perSecond: number;
  readonly durationMs: number;
  /** Model engines' services to ask for completions. */
  readonly models: readonly string[];
  /** Paths of plain services, as `service/path`. */
  readonly paths: readonly string[];
  readonly maxTokens: number;
  readonly seed: number;
}

/** One call of the plan. */
export interface PlannedCall {
  /** When the call starts, in ms from the start of the load. */
  readonly atMs: number;
  /** Service or path, for the report. */
  readonly target: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | undefined;
}

/** Plans calls with exponential gaps; equal seeds give equal plans. */
export function planCalls(load: CallLoad): PlannedCall[] {
  const targets = [
    ...load.models.map(model => ({model, path: ''})),
    ...load.paths.map(path => ({model: '', path})),
  ];
  if (targets.length === 0 || load.perSecond <= 0) return [];
  const random = createRandomSource(load.seed);
  const calls: PlannedCall[] = [];
  const gapMs = MS_PER_SECOND / load.perSecond;
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random()) * gapMs;
    if (atMs >= load.durationMs) return calls;
    const {model, path} = targets[Math.floor(random() * targets.length)];
    const prompt = `load prompt ${Math.floor(random() * PROMPT_COUNT)}`;
    const body = {model, prompt, max_tokens: load.maxTokens};
    calls.push(
      model === ''
        ? planPlainCall(atMs, path)
        : {
            atMs,
            target: model,
            method: 'POST',
            path: '/v1/completions',
            body: JSON.stringify(body),
          },
    );
  }
}

function planPlainCall(atMs: number, path: string): PlannedCall {
  const [target] = path.split('/');
  const full = `/services/${path}`;
  return {atMs, target, method: 'GET', path: full, body: undefined};
}
