/**
 * Chooses the endpoint that a request is sent to: the one with the lowest
 * cost, where cost grows with load, slowness and distance and falls where the
 * request's prompt prefix is likely cached.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {DomainPlacement} from '../rules/rule_set';
import type {EndpointView} from '../membership/fleet_view';
import type {RandomSource} from '../shared/clock';
import {rankByRendezvous} from '../shared/hash';
import type {RouteCandidate} from './endpoint_tracker';

/** Cost in another failure domain, against the entry's own. */
const REMOTE_COST = 1.1;
/** Cost over a costly link, against the entry's own failure domain. */
const SPILL_COST = 1.6;
/** Cost where the prefix is likely cached, by rendezvous rank. */
const PREFIX_COSTS: readonly number[] = [0.6, 0.8];
/** Cost of each request that would wait, in shares of a slot. */
const QUEUE_COST = 3;
/** Costs within this factor of the lowest are equal. */
const TIE_FACTOR = 1.02;

/** What the chooser needs to know of a request. */
export interface RouteRequest {
  readonly service: string;
  /** Equal for requests that share a prompt prefix; empty for none. */
  readonly prefixKey: string;
  readonly ownDomain: string;
  readonly placement: DomainPlacement;
  /** Endpoints that have failed this request already. */
  readonly excluded: readonly string[];
  /** Failure domain to stay away from, after a crash there. */
  readonly avoidDomain: string | undefined;
}

/** A candidate with its cost for one request. */
interface CostedCandidate {
  readonly candidate: RouteCandidate;
  readonly cost: number;
}

/** Chooses among the endpoints that may get new work. */
export function chooseEndpoint(
  request: RouteRequest,
  candidates: readonly RouteCandidate[],
  random: RandomSource,
): Result<EndpointView, ServiceError> {
  const allowed = candidates.filter(item => isAllowed(item.endpoint, request));
  const sound = allowed.filter(item => !item.isEjected);
  const pool = sound.length > 0 ? sound : allowed;
  if (pool.length === 0) {
    const detail = `no endpoint of ${request.service} takes work`;
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
  pool: readonly RouteCandidate[],
): CostedCandidate[] {
  const homes = rankPrefixHomes(request, pool);
  return pool.map(candidate => {
    const rank = homes.indexOf(candidate.endpoint.name);
    const prefixCost = PREFIX_COSTS[rank] ?? 1;
    const distanceCost = computeDistanceCost(request, candidate.endpoint);
    const cost = computeLoadCost(candidate) * prefixCost * distanceCost;
    return {candidate, cost};
  });
}

function rankPrefixHomes(
  request: RouteRequest,
  pool: readonly RouteCandidate[],
): string[] {
  if (request.prefixKey === '') return [];
  const names = pool.map(candidate => candidate.endpoint.name);
  const ranked = rankByRendezvous(request.prefixKey, names);
  return ranked.slice(0, PREFIX_COSTS.length);
}

/** Returns the expected time at an endpoint, 1 for an idle and usual one. */
export function computeLoadCost(candidate: RouteCandidate): number {
  const {endpoint, work, slowness, warmth} = candidate;
  const slots = Math.max(1, endpoint.slots * warmth);
  const busy = Math.min(1, work / slots);
  const waiting = Math.max(0, work + 1 - slots) / slots;
  return slowness * (1 + busy + QUEUE_COST * waiting);
}

function computeDistanceCost(
  request: RouteRequest,
  endpoint: EndpointView,
): number {
  if (endpoint.failureDomain === request.ownDomain) return 1;
  const isSpill = request.placement.spill.includes(endpoint.failureDomain);
  return isSpill ? SPILL_COST : REMOTE_COST;
}

function pickCheapest(
  costed: readonly CostedCandidate[],
  random: RandomSource,
): EndpointView {
  const least = Math.min(...costed.map(item => item.cost));
  const ties = costed.filter(item => item.cost <= least * TIE_FACTOR);
  const picked = ties[Math.floor(random() * ties.length)] ?? ties[0];
  return picked.candidate.endpoint;
}
