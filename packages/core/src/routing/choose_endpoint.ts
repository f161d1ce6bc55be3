/**
 * Chooses the endpoint with the lowest cost for a request. The cost grows with
 * load, slowness and distance, and is lower where the request's prompt prefix is
 * probably cached.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {DomainPlacement} from '../rules/rule_set';
import type {EndpointView} from '../membership/fleet_view';
import type {RandomSource} from '../shared/clock';
import {rankByRendezvous} from '../shared/hash';
import type {EndpointCandidate} from './endpoint_tracker';

/** Cost factor of another failure domain, relative to the entry's own. */
const REMOTE_COST = 1.1;
/** Cost factor of a failure domain over an expensive link. */
const SPILL_COST = 1.6;
/** Cost factors by rendezvous rank where the prefix is probably cached. */
const PREFIX_COSTS: readonly number[] = [0.6, 0.8];
/** Added cost of one waiting request per slot. */
const QUEUE_COST = 3;
/** Costs up to this factor above the lowest count as equal. */
const TIE_FACTOR = 1.02;

/** The properties of a request on which routing depends. */
export interface RouteRequest {
  readonly service: string;
  /** Equal for requests that share a prompt prefix; empty without one. */
  readonly prefixKey: string;
  readonly ownDomain: string;
  readonly placement: DomainPlacement;
  /** Endpoints at which this request has already failed. */
  readonly excluded: readonly string[];
  /** Failure domain to avoid, because an attempt crashed there. */
  readonly avoidDomain: string | undefined;
}

/** A candidate with its cost for one request. */
interface CostedCandidate {
  readonly candidate: EndpointCandidate;
  readonly cost: number;
}

/**
 * Chooses among endpoints that accept new work. Ejected endpoints are used only
 * if no other is allowed. Fails with `no-endpoint` if none is allowed.
 */
export function chooseEndpoint(
  request: RouteRequest,
  candidates: readonly EndpointCandidate[],
  random: RandomSource,
): Result<EndpointView, ServiceError> {
  const allowed = candidates.filter(candidate =>
    isAllowed(candidate.endpoint, request),
  );
  const notEjected = allowed.filter(candidate => !candidate.isEjected);
  const pool = notEjected.length > 0 ? notEjected : allowed;
  if (pool.length === 0) {
    const detail = `no endpoint of ${request.service} accepts this request`;
    return err(createError('no-endpoint', detail));
  }
  return ok(pickCheapest(addCosts(request, pool), random));
}

function isAllowed(endpoint: EndpointView, request: RouteRequest): boolean {
  if (request.excluded.includes(endpoint.name)) return false;
  if (endpoint.failureDomain === request.avoidDomain) return false;
  const {allowed} = request.placement;
  return allowed === undefined || allowed.includes(endpoint.failureDomain);
}

function addCosts(
  request: RouteRequest,
  pool: readonly EndpointCandidate[],
): CostedCandidate[] {
  const prefixEndpoints = rankPrefixEndpoints(request, pool);
  return pool.map(candidate => {
    const rank = prefixEndpoints.indexOf(candidate.endpoint.name);
    const prefixCost = PREFIX_COSTS[rank] ?? 1;
    const distanceCost = computeDistanceCost(request, candidate.endpoint);
    const cost = computeLoadCost(candidate) * prefixCost * distanceCost;
    return {candidate, cost};
  });
}

/** Returns the endpoints that probably cache the prefix, by rendezvous rank. */
function rankPrefixEndpoints(
  request: RouteRequest,
  pool: readonly EndpointCandidate[],
): string[] {
  if (request.prefixKey === '') return [];
  const names = pool.map(candidate => candidate.endpoint.name);
  const ranked = rankByRendezvous(request.prefixKey, names);
  return ranked.slice(0, PREFIX_COSTS.length);
}

/**
 * Returns the expected time of a request at an endpoint, as a multiple of the
 * time at an idle endpoint of usual speed.
 */
export function computeLoadCost(candidate: EndpointCandidate): number {
  const {endpoint, load, slowness, warmUpFactor} = candidate;
  const slots = Math.max(1, endpoint.slots * warmUpFactor);
  const busyShare = Math.min(1, load / slots);
  const waitingPerSlot = Math.max(0, load + 1 - slots) / slots;
  return slowness * (1 + busyShare + QUEUE_COST * waitingPerSlot);
}

function computeDistanceCost(
  request: RouteRequest,
  endpoint: EndpointView,
): number {
  if (endpoint.failureDomain === request.ownDomain) return 1;
  const isSpill = request.placement.spill.includes(endpoint.failureDomain);
  return isSpill ? SPILL_COST : REMOTE_COST;
}

/** Picks a candidate at random among those with nearly the lowest cost. */
function pickCheapest(
  costed: readonly CostedCandidate[],
  random: RandomSource,
): EndpointView {
  const lowestCost = Math.min(...costed.map(({cost}) => cost));
  const ties = costed.filter(({cost}) => cost <= lowestCost * TIE_FACTOR);
  const picked = ties[Math.floor(random() * ties.length)] ?? ties[0];
  return picked.candidate.endpoint;
}
