/**
 * Decides when a node takes over as the home of batch jobs. The right is won
 * by a conditional update of one object in the store, whose epoch grows with
 * each home. A silent home is replaced only when agents confirm that they do
 * not hear it either, so that a link between two nodes does not change it.
 */

/** Silence after which a home is doubted, in ms: three probes. */
const SILENCE_MS = 600;
/** Time since a home's contact up to which an agent vouches for it, in ms. */
const VOUCH_MS = 700;
/** Time between the claims of candidates, in ms. */
const RANK_DELAY_MS = 200;
/** Silence after which a home is replaced though no agent answers, in ms. */
const UNWITNESSED_MS = 3_000;

/** The home as the store names it. */
export interface HomeRecord {
  readonly node: string;
  /** Life of the node's process. */
  readonly incarnation: string;
  /** `host:port` for other nodes. */
  readonly address: string;
  readonly epoch: number;
}

/** What an agent says of the home. */
export interface WitnessView {
  readonly epoch: number;
  readonly agoMs: number;
}

/** What a candidate knows. */
export interface ElectionView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly ownIncarnation: string;
  readonly home: HomeRecord | undefined;
  /** When the home last answered, or was first heard of. */
  readonly heardAtMs: number;
  /** Whether the last probe found nobody listening. */
  readonly isRefused: boolean;
  /** Other nodes that would claim before this one. */
  readonly rank: number;
  readonly isDraining: boolean;
  /** Answers of agents; undefined before they were asked. */
  readonly witnesses: readonly WitnessView[] | undefined;
}

/** What a candidate does next. */
export type ElectionStep = 'follow' | 'ask-witnesses' | 'claim';

/** Returns what a candidate does next. */
export function decideElection(view: ElectionView): ElectionStep {
  const {home, nowMs} = view;
  if (view.isDraining) return 'follow';
  const silentMs = nowMs - view.heardAtMs;
  const turnMs = view.rank * RANK_DELAY_MS;
  if (home === undefined) return silentMs >= turnMs ? 'claim' : 'follow';
  if (home.node === view.ownName) {
    return home.incarnation === view.ownIncarnation ? 'follow' : 'claim';
  }
  const limitMs = view.isRefused ? turnMs : SILENCE_MS + turnMs;
  if (silentMs < limitMs) return 'follow';
  if (view.witnesses === undefined) return 'ask-witnesses';
  if (view.witnesses.some(item => isVouching(item, home))) return 'follow';
  if (view.witnesses.length > 0) return 'claim';
  return silentMs >= UNWITNESSED_MS + turnMs ? 'claim' : 'follow';
}

function isVouching(witness: WitnessView, home: HomeRecord): boolean {
  return witness.epoch >= home.epoch && witness.agoMs < VOUCH_MS;
}
