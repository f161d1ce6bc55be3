/** Limits of a log that is written faster than allowed or than it is read. */
import {BoundedOutput} from './bounded_output';

function createTarget() {
  const lines: string[] = [];
  return {
    lines,
    writableLength: 0,
    write(text: string) {
      lines.push(text.trim());
      return true;
    },
  };
}

test('lines over the rate are dropped and counted', () => {
  const target = createTarget();
  let nowMs = 0;
  const bounds = {linesPerSecond: 10, burst: 5};
  const output = BoundedOutput.create(target, () => nowMs, bounds);
  for (let i = 0; i < 1_000; i++) output.write(`line ${i}\n`);
  nowMs = 100;
  output.write('later\n');
  expect({
    lines: target.lines,
    dropped: output.getDroppedLines(),
  }).toMatchInlineSnapshot(`
    {
      "dropped": 995,
      "lines": [
        "line 0",
        "line 1",
        "line 2",
        "line 3",
        "line 4",
        "{"msg":"log-dropped","dropped":995}",
        "later",
      ],
    }
  `);
});

test('the sustained rate is never exceeded', () => {
  const target = createTarget();
  let nowMs = 0;
  const bounds = {linesPerSecond: 50, burst: 100};
  const output = BoundedOutput.create(target, () => nowMs, bounds);
  for (let i = 0; i < 20_000; i++) {
    nowMs = i;
    output.write('x\n');
  }
  const written = target.lines.filter(line => line === 'x').length;
  expect(written).toBeLessThanOrEqual(100 + 20 * 50);
});

test('a reader that does not read causes dropped lines, not blocking', () => {
  const target = createTarget();
  target.writableLength = 10_000_000;
  const output = BoundedOutput.create(target, () => 0);
  expect(output.write('x\n')).toBe(true);
  expect([target.lines.length, output.getDroppedLines()]).toEqual([0, 1]);
});
