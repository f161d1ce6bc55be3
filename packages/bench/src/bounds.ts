/**
 * Limits that the benchmark's results must meet, from bounds.json. A bound
 * limits a figure of the current policy's result, or the ratio of that figure
 * to the same figure of a baseline result.
 */
import {z} from 'zod';
import boundsJson from '../bounds.json';
import type {BenchResult} from './bench_report';
import type {RunSummary} from './summary';

const METRICS = [
  'idleShare',
  'stalenessP99',
  'plainGoodput',
  'engineGoodput',
  'plainP99Ms',
  'engineP99Ms',
] as const satisfies readonly (keyof RunSummary)[];

const BOUND_SCHEMA = z.strictObject({
  id: z.string(),
  deployment: z.string(),
  scenario: z.string(),
  metric: z.enum(METRICS),
  /** Baseline result; without it, the figure itself is limited. */
  against: z
    .strictObject({policy: z.string(), scenario: z.string()})
    .optional(),
  atMost: z.number().optional(),
  atLeast: z.number().optional(),
});

/**
 * A limit on a figure or ratio. Without `atMost` there is no upper limit;
 * without `atLeast` the lower limit is 0.
 */
export type Bound = z.infer<typeof BOUND_SCHEMA>;

/** The bounds that the current policy must meet. */
export const BOUNDS: readonly Bound[] = z.array(BOUND_SCHEMA).parse(boundsJson);

const CURRENT_POLICY = 'current';

/** A bound with the measured value. */
export interface BoundCheck {
  readonly bound: Bound;
  /** Figure or ratio; undefined if a result that it needs is missing. */
  readonly value: number | undefined;
  readonly isMet: boolean;
}

/** Checks a bound; it is not met if a result that it needs is missing. */
export function checkBound(
  bound: Bound,
  results: readonly BenchResult[],
): BoundCheck {
  const {scenario, against} = bound;
  const figure = findFigure(bound, CURRENT_POLICY, scenario, results);
  const divisor = against
    ? findFigure(bound, against.policy, against.scenario, results)
    : 1;
  if (figure === undefined || divisor === undefined) {
    return {bound, value: undefined, isMet: false};
  }
  const value = figure / divisor;
  const isWithinMaximum = value <= (bound.atMost ?? Number.POSITIVE_INFINITY);
  return {
    bound,
    value,
    isMet: isWithinMaximum && value >= (bound.atLeast ?? 0),
  };
}

function findFigure(
  bound: Bound,
  policy: string,
  scenario: string,
  results: readonly BenchResult[],
): number | undefined {
  const match = results.find(
    result =>
      result.deployment === bound.deployment &&
      result.policy === policy &&
      result.scenario === scenario,
  );
  return match?.summary[bound.metric];
}

function describeCheck(value: number | undefined, isMet: boolean): string {
  if (value === undefined) return '-';
  return isMet ? 'met' : 'NOT MET';
}

/** Formats the checks, one per line. */
export function formatChecks(checks: readonly BoundCheck[]): string {
  const lines = checks.map(({bound, value, isMet}) => {
    const limit =
      bound.atMost === undefined
        ? `at least ${bound.atLeast}`
        : `at most ${bound.atMost}`;
    const figure = value === undefined ? 'not run' : value.toFixed(3);
    return `${describeCheck(value, isMet)}  ${bound.id}: ${figure}, ${limit}`;
  });
  return `${lines.join('\n')}\n`;
}
