/** Server-sent events, for any split of the stream into chunks. */
import fc from 'fast-check';
import {readFuzzParameters} from '@sassafrasspan/core/testing';
import {EventStreamReader} from './event_stream';

const STREAM =
  'id: 1\ndata: first\n\norigin: 3\nid: 2\ndata: zwölf\r\n\r\n' +
  'id: 3\ndata: a\ndata: b\n\nid: 4\ndata: ha';

function readAll(chunks: readonly Buffer[]) {
  const reader = EventStreamReader.create();
  const events = chunks.flatMap(chunk => reader.read(chunk));
  return {
    events: events.map(({id, data, fields}) => [id, data, [...fields]]),
    isPartial: reader.isPartial(),
  };
}

test('returns complete events and no partial event', () => {
  expect(readAll([Buffer.from(STREAM)])).toMatchInlineSnapshot(`
    {
      "events": [
        [
          "1",
          "first",
          [],
        ],
        [
          "2",
          "zwölf",
          [
            [
              "origin",
              "3",
            ],
          ],
        ],
        [
          "3",
          "a
    b",
          [],
        ],
      ],
      "isPartial": true,
    }
  `);
});

test('the events do not depend on chunk sizes', () => {
  const bytes = Buffer.from(STREAM);
  const expected = readAll([bytes]);
  fc.assert(
    fc.property(fc.array(fc.integer({min: 1, max: 9})), sizes => {
      const chunks: Buffer[] = [];
      let from = 0;
      for (const size of sizes) {
        chunks.push(bytes.subarray(from, from + size));
        from += size;
      }
      chunks.push(bytes.subarray(from));
      expect(readAll(chunks)).toEqual(expected);
    }),
    readFuzzParameters(1, 200),
  );
});
