/** The system of the demo: two customers, four failure domains. */
import {STEP_DESCRIPTION_SCHEMA} from '@sassafrasspan/core';
import {SystemPlan, hashCustomerKey} from './system';

/**
 * Returns the rules file of the demo. `withinMs` is the latency promise for the
 * booking app; a change of it makes a new revision.
 */
export function formatDemoRules(withinMs: number): string {
  const kyklos = hashCustomerKey('kyklos');
  const leoben = hashCustomerKey('leoben');
  return `rules:
  - {id: kyklos-key, kind: api-key, customer: kyklos, sha256: ${kyklos}}  # onboarding, M. Petrou
  - {id: leoben-key, kind: api-key, customer: leoben, sha256: ${leoben}}  # onboarding, A. Huber
  - {id: lm-pool, kind: pool, service: briefing-lm, type: engine, endpoints: [lm-1, lm-2, lm-3, lm-4]}  # platform team
  - {id: app-pool, kind: pool, service: booking-app, type: plain, endpoints: [app-1, app-2]}  # platform team
  - {id: briefs, kind: trainer, trainer: briefs, customer: kyklos, service: briefing-lm, idleWeight: 0.8}  # sales, contract 2026-14
  - {id: briefs-fresh, kind: staleness, trainer: briefs, maxVersions: 1}  # training team
  - {id: confirm-fast, kind: latency, customer: kyklos, service: booking-app, percentile: 99, withinMs: ${withinMs}}  # venue sales, contract 2026-14
  - {id: draft-fast, kind: latency, customer: kyklos, service: briefing-lm, percentile: 95, withinMs: 8000}  # venue sales, contract 2026-14
  - {id: briefs-on-time, kind: step-time, trainer: briefs, withinS: 1140}  # coordinators, rosters before noon
  - {id: weights-soon, kind: weights-within, service: briefing-lm, withinMs: 7000}  # training team
  - {id: post-once, kind: non-idempotent, service: booking-app, method: POST, pathPrefix: /shifts}  # coordinators, one waiter a post
`;
}

/** Name of the only trainer in the demo's rules. */
export const DEMO_TRAINER = 'briefs';

/** A step that takes long enough for a crash and a swap to happen in it. */
export const DEMO_STEP = STEP_DESCRIPTION_SCHEMA.parse({
  prompts: Array.from({length: 24}, (_, index) => ({
    prompt: `Draft the briefing for gala ${index + 1}`,
    maxTokens: 220,
  })),
  groupSize: 8,
  scoring: 'score',
  stalenessBound: 1,
});

const DOMAINS = ['attica-a', 'attica-b', 'attica-c', 'attica-d'];

/** Two entries, four engines and two plain endpoints. */
export const DEMO_PLAN: SystemPlan = {
  entries: [
    {name: 'entry-a', failureDomain: DOMAINS[0]},
    {name: 'entry-b', failureDomain: DOMAINS[1]},
  ],
  endpoints: [
    ...DOMAINS.map((failureDomain, index) => ({
      name: `lm-${index + 1}`,
      service: 'briefing-lm',
      kind: 'engine' as const,
      failureDomain,
    })),
    ...DOMAINS.slice(2).map((failureDomain, index) => ({
      name: `app-${index + 1}`,
      service: 'booking-app',
      kind: 'plain' as const,
      failureDomain,
    })),
  ],
  rules: formatDemoRules(300),
};
