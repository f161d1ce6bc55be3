/** What each scenario of the benchmark does to a deployment. */

/** A span of the run, as shares of its length. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** One scenario. */
export interface Scenario {
  readonly name: string;
  /** Serving load as a share of each pool's capacity. */
  readonly plainLoad: number;
  readonly engineLoad: number;
  readonly hasRollouts: boolean;
  /** When the last failure domain is lost. */
  readonly lostDomain?: Span;
  /** Indexes of endpoints that run slower in each pool. */
  readonly slowEndpoints: readonly number[];
  /** When the object API is down: no versions spread, loads are old. */
  readonly platformDown?: Span;
}

const CALM: Scenario = {
  name: 'calm',
  plainLoad: 0.6,
  engineLoad: 0.1,
  hasRollouts: true,
  slowEndpoints: [],
};
const MIDDLE_THIRD: Span = {from: 1 / 3, to: 2 / 3};

/** The scenarios by the order of the report. */
export const SCENARIOS: readonly Scenario[] = [
  CALM,
  {...CALM, name: 'serving-alone', hasRollouts: false},
  {...CALM, name: 'at-capacity', plainLoad: 1, engineLoad: 1},
  {...CALM, name: 'overload-1.3', plainLoad: 1.3, engineLoad: 1.3},
  {...CALM, name: 'domain-lost', lostDomain: MIDDLE_THIRD},
  {...CALM, name: 'stragglers', slowEndpoints: [1]},
  {...CALM, name: 'platform-down', platformDown: MIDDLE_THIRD},
];
