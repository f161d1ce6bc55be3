/**
 * Derives the calls of the `load` command, which generates load, and their times
 * from a seed.
 */
import {createRandomSource} from '@sassafrasspan/core';

const MS_PER_SECOND = 1_000;
const PROMPT_COUNT = 16;

/** Parameters of the calls to send. */
export interface CallLoad {
  /** Calls started each second, on average. */
  readonly perSecond: number;
  readonly durationMs: number;
  /**
   * Names of services whose endpoints are model engines; they receive completion
   * requests.
   */
  readonly models: readonly string[];
  /**
   * Paths on plain services (HTTP services that are not model engines), as
   * `service/path`.
   */
  readonly paths: readonly string[];
  readonly maxTokens: number;
  readonly seed: number;
}

/** One call of the plan. */
export interface PlannedCall {
  /** Planned start in ms after the start of the load. */
  readonly atMs: number;
  /** Name of the called service, for the report. */
  readonly target: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | undefined;
}

/**
 * Plans calls with exponentially distributed intervals. The same seed gives
 * the same plan.
 */
export function planCalls(load: CallLoad): PlannedCall[] {
  const targets = [
    ...load.models.map(model => ({model, path: ''})),
    ...load.paths.map(path => ({model: '', path})),
  ];
  if (targets.length === 0 || load.perSecond <= 0) return [];
  const random = createRandomSource(load.seed);
  const calls: PlannedCall[] = [];
  const meanIntervalMs = MS_PER_SECOND / load.perSecond;
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random()) * meanIntervalMs;
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
  const servicePath = `/services/${path}`;
  return {atMs, target, method: 'GET', path: servicePath, body: undefined};
}
