/** Components that entries and agents have in common. */
import {randomUUID} from 'node:crypto';
import {Quarantine, RulesHolder} from '@sassafrasspan/core';
import {ObjectClient} from '@sassafrasspan/platform';
import {
  DecisionLog,
  Metrics,
  SYSTEM_CLOCK,
  createEventLog,
} from '@sassafrasspan/runtime';
import {RulesFeed} from './rules_feed';
import type {NodeSettings} from './settings_schemas';

/** Components of one incarnation of a node. */
export interface NodeComponents {
  readonly incarnation: string;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly rules: RulesHolder;
  readonly quarantine: Quarantine;
  readonly store: ObjectClient;
  readonly feed: RulesFeed;
}

/**
 * Creates the components of a node. The pointer to the latest rules revision is
 * read every `pollIntervalMs`, or watched by long polls if that is undefined.
 */
export function createNodeComponents(
  settings: NodeSettings,
  pollIntervalMs?: number,
): NodeComponents {
  const {name, role} = settings;
  const log = DecisionLog.create({
    log: createEventLog({node: name, role, level: settings.log.level}),
    clock: SYSTEM_CLOCK,
  });
  const store = ObjectClient.create(settings.platform.objectsUrl);
  const rules = RulesHolder.create();
  const feed = RulesFeed.create({
    store,
    holder: rules,
    clock: SYSTEM_CLOCK,
    random: Math.random,
    log,
    pollIntervalMs,
  });
  return {
    incarnation: randomUUID(),
    log,
    metrics: Metrics.create(),
    rules,
    quarantine: Quarantine.create(),
    store,
    feed,
  };
}
