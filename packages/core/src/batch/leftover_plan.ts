/**
 * Decides which texts of ended jobs begin again before a later job asks for them.
 *
 * Designed for this load: a trainer ends a step as soon as enough groups are
 * complete, and submits the others again in its next step, which always waits for
 * them and does not allow the versions of this step. The next step is often due
 * only seconds later. Long texts of those groups that begin again with newer
 * weights at the end of the step are well under way by then; otherwise the next
 * step takes as long as the longest of them.
 */
import type {BatchJob} from './batch_types';
import type {ItemState} from './item_state';
import {predictMemory, predictRemainingTokens} from './length_forecast';
import {computePeakMemory} from './memory_forecast';
import {BatchEndpointView, getModelVersion} from './start_plan';

/** Share of an endpoint's memory that its runs may be expected to use with a
 * leftover; the rest stays free for items of open jobs. */
const MEMORY_SHARE = 0.6;
/** Minimum number of tokens that a text is expected to have: shorter ones are
 * complete early in the next step anyway. */
const MIN_TOKENS = 600;

/** An item of an ended job that a later job probably has again. */
export interface Leftover {
  readonly job: BatchJob;
  /** State without text; its length is known if its text was once complete. */
  readonly item: ItemState;
  /** Time until which it may start. */
  readonly startsUntilMs: number;
}

/** Leftovers of one service, and what the next job of their model requires. */
export interface LeftoverView {
  readonly leftover: Leftover;
  readonly endpointIds: ReadonlySet<string>;
  readonly tokensPerEvent: number;
  /** Oldest weight version that the next job probably allows. */
  readonly minVersion: number;
}

/** A leftover to start, and where. */
export interface PlannedLeftover {
  readonly leftover: Leftover;
  readonly endpointId: string;
  readonly remainingTokens: number;
  /** Time per token at the endpoint of a run without concurrent runs, in ms. */
  readonly msPerToken: number;
}

/** Returns the leftovers to start now, the longest first. */
export function planLeftovers(
  views: readonly LeftoverView[],
  endpoints: readonly BatchEndpointView[],
): PlannedLeftover[] {
  const candidates = views
    .map(view => ({
      view,
      remainingTokens: predictRemainingTokens(
        view.leftover.item,
        view.tokensPerEvent,
      ),
    }))
    .filter(({remainingTokens}) => remainingTokens >= MIN_TOKENS)
    .sort((a, b) => b.remainingTokens - a.remainingTokens);
  const loads = endpoints.map(endpoint => ({
    endpoint,
    runs: endpoint.runs,
    memory: [...endpoint.memory],
  }));
  const starts: PlannedLeftover[] = [];
  for (const {view, remainingTokens} of candidates) {
    const needed = predictMemory(view.leftover.item, view.tokensPerEvent);
    const usable = loads
      .filter(({endpoint}) => isUsable(view, endpoint))
      .filter(({endpoint, runs}) => runs < endpoint.slots)
      .filter(
        ({endpoint, memory}) =>
          computePeakMemory([...memory, needed]) <=
          endpoint.memoryTokens * MEMORY_SHARE,
      )
      .sort((a, b) => a.runs - b.runs);
    const load = usable[0];
    if (load === undefined) continue;
    load.runs += 1;
    load.memory.push(needed);
    const {id: endpointId, msPerToken} = load.endpoint;
    const {leftover} = view;
    starts.push({leftover, endpointId, remainingTokens, msPerToken});
  }
  return starts;
}

function isUsable(view: LeftoverView, endpoint: BatchEndpointView): boolean {
  const {model} = view.leftover.job;
  return (
    endpoint.isOpen &&
    endpoint.startsLeft >= 1 &&
    endpoint.loadingModel !== model &&
    view.endpointIds.has(endpoint.id) &&
    getModelVersion(endpoint, model) >= view.minVersion
  );
}
