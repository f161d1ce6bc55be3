/** Tests what proves that an endpoint crashed under a request. */
import {CrashEvidence, classifyLife, formatCrashId} from './crash_evidence';

const LIFE = {id: 'e', startedAtMs: 1};

/** Records a break at time 0, then a sign; returns what the end implicates. */
function findImplicated(
  sign: (evidence: CrashEvidence) => void,
  endAtMs = 2_000,
): string[] {
  const evidence = CrashEvidence.create();
  evidence.recordBreak(LIFE, 'page', 0);
  sign(evidence);
  return evidence.recordEnd(LIFE, endAtMs);
}

test('an end implicates requests that it did not break off, or misses those that it did', () => {
  expect({
    nothing: findImplicated(() => undefined),
    'a reply to a later request': findImplicated(evidence =>
      evidence.recordReply(LIFE, 10),
    ),
    'a reply to an earlier request': findImplicated(evidence =>
      evidence.recordReply(LIFE, -10),
    ),
    'a reply after a possible restart': findImplicated(evidence =>
      evidence.recordReply(LIFE, 1_500),
    ),
    'a reply of its next life': findImplicated(evidence =>
      evidence.recordReply({...LIFE, startedAtMs: 2}, 10),
    ),
    'an answer elsewhere': findImplicated(evidence =>
      evidence.recordSuccess('page'),
    ),
    'an answer to another request': findImplicated(evidence =>
      evidence.recordSuccess('other'),
    ),
    'a planned end': findImplicated(evidence => evidence.recordLeaving(LIFE)),
    'an end long after': findImplicated(() => undefined, 20_000),
  }).toMatchInlineSnapshot(`
    {
      "a planned end": [],
      "a reply after a possible restart": [
        "page",
      ],
      "a reply of its next life": [
        "page",
      ],
      "a reply to a later request": [],
      "a reply to an earlier request": [
        "page",
      ],
      "an answer elsewhere": [],
      "an answer to another request": [
        "page",
      ],
      "an end long after": [],
      "nothing": [
        "page",
      ],
    }
  `);
});

test('a break that is reported after the end of the endpoint implicates nothing', () => {
  const evidence = CrashEvidence.create();
  evidence.recordEnd(LIFE, 0);
  expect(evidence.recordBreak(LIFE, 'late', 5)).toBe(true);
  expect(evidence.recordBreak({...LIFE, startedAtMs: 2}, 'next', 5)).toBe(
    false,
  );
});

test('a break implicates a request since its endpoint was out of reach before', () => {
  const evidence = CrashEvidence.create();
  evidence.recordEnd(LIFE, 0);
  evidence.recordReply(LIFE, 10);
  expect(evidence.recordBreak(LIFE, 'page', 20)).toBe(false);
});

test('two lives of an endpoint under one id count as one', () => {
  const next = {...LIFE, startedAtMs: 2};
  expect(formatCrashId(LIFE)).not.toBe(formatCrashId(next));
  expect([
    classifyLife(LIFE, {...LIFE, isDraining: false}),
    classifyLife(LIFE, {...LIFE, isDraining: true}),
    classifyLife(LIFE, {...next, isDraining: false}),
    classifyLife(LIFE, undefined),
  ]).toEqual(['lives', 'leaves', 'ended', 'ended']);
});
