/**
 * Schemas of the rules, one for each kind, and of the revision that contains
 * them. Types are inferred from the schemas.
 */
import {z} from 'zod';

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a lower-case name of 1 to 63 letters');
const MAX_PRIORITY = 9;
const common = {id: NAME};

/** Schemas by rule kind. */
export const RULE_SCHEMAS = {
  'api-key': z.strictObject({
    ...common,
    kind: z.literal('api-key'),
    customer: NAME,
    sha256: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits'),
  }),
  pool: z.strictObject({
    ...common,
    kind: z.literal('pool'),
    service: NAME,
    type: z.enum(['engine', 'plain']),
    endpoints: z.array(NAME).min(1),
  }),
  trainer: z.strictObject({
    ...common,
    kind: z.literal('trainer'),
    trainer: NAME,
    customer: NAME,
    service: NAME,
    /** Weight of idle time relative to staleness; 1 ignores staleness. */
    idleWeight: z.number().min(0).max(1),
  }),
  latency: z.strictObject({
    ...common,
    kind: z.literal('latency'),
    customer: NAME,
    service: NAME,
    percentile: z.number().gt(0).lt(100),
    withinMs: z.number().int().positive(),
  }),
  staleness: z.strictObject({
    ...common,
    kind: z.literal('staleness'),
    trainer: NAME,
    maxVersions: z.number().int().nonnegative(),
  }),
  share: z.strictObject({
    ...common,
    kind: z.literal('share'),
    customer: NAME,
    service: NAME,
    percent: z.number().gt(0).max(100),
  }),
  limit: z.strictObject({
    ...common,
    kind: z.literal('limit'),
    customer: NAME,
    service: NAME.optional(),
    requestsPerSecond: z.number().positive().optional(),
    tokensPerSecond: z.number().positive().optional(),
    concurrent: z.number().int().positive().optional(),
  }),
  priority: z.strictObject({
    ...common,
    kind: z.literal('priority'),
    customer: NAME,
    service: NAME.optional(),
    /** 0 is served first. */
    priority: z.number().int().min(0).max(MAX_PRIORITY),
  }),
  domains: z.strictObject({
    ...common,
    kind: z.literal('domains'),
    customer: NAME,
    service: NAME.optional(),
    allowed: z.array(NAME).min(1),
    /** Failure domains of `allowed` that are reached over costly links. */
    spill: z.array(NAME).default([]),
  }),
  'non-idempotent': z.strictObject({
    ...common,
    kind: z.literal('non-idempotent'),
    service: NAME,
    method: z.string().regex(/^[A-Z]+$/, 'an upper-case HTTP method'),
    pathPrefix: z.string().startsWith('/'),
  }),
  'step-time': z.strictObject({
    ...common,
    kind: z.literal('step-time'),
    trainer: NAME,
    withinS: z.number().positive(),
  }),
  'weights-within': z.strictObject({
    ...common,
    kind: z.literal('weights-within'),
    service: NAME,
    withinMs: z.number().int().positive(),
  }),
} as const;

export type RuleKind = keyof typeof RULE_SCHEMAS;

export type RuleOf<K extends RuleKind> = z.infer<(typeof RULE_SCHEMAS)[K]>;

export type Rule = {[K in RuleKind]: RuleOf<K>}[RuleKind];

export const RULE_SCHEMA = z.discriminatedUnion('kind', [
  RULE_SCHEMAS['api-key'],
  RULE_SCHEMAS.pool,
  RULE_SCHEMAS.trainer,
  RULE_SCHEMAS.latency,
  RULE_SCHEMAS.staleness,
  RULE_SCHEMAS.share,
  RULE_SCHEMAS.limit,
  RULE_SCHEMAS.priority,
  RULE_SCHEMAS.domains,
  RULE_SCHEMAS['non-idempotent'],
  RULE_SCHEMAS['step-time'],
  RULE_SCHEMAS['weights-within'],
]);

export const ATTRIBUTED_RULE_SCHEMA = z.strictObject({
  rule: RULE_SCHEMA,
  /** Text of the comment that follows the rule in the rules file. */
  askedBy: z.string().min(1),
  /** Line of the rules file, from 1. */
  line: z.number().int().positive(),
});

/** A rule with the person who requested it and its line in the rules file. */
export type AttributedRule = z.infer<typeof ATTRIBUTED_RULE_SCHEMA>;

export const RULES_REVISION_SCHEMA = z.strictObject({
  revision: z.number().int().positive(),
  operationId: z.string().min(1),
  author: z.string(),
  writtenAtMs: z.number(),
  text: z.string(),
  rules: z.array(ATTRIBUTED_RULE_SCHEMA),
});

/** An immutable revision of the rules. */
export type RulesRevision = z.infer<typeof RULES_REVISION_SCHEMA>;

export function isRuleKind(text: string): text is RuleKind {
  return Object.hasOwn(RULE_SCHEMAS, text);
}
