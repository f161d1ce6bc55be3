/** Formats tables as plain text. */

/** Pads each column to its widest cell and separates columns by two spaces. */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map(row => row[column].length)),
  );
  return lines
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
