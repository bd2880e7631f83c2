const WIDTH = 560;
const HEIGHT = 240;
const LEFT = 48;
const BOTTOM = 28;
const TOP = 24;
const COLOURS = ['#c0392b', '#2c3e50', '#2980b9', '#27ae60', '#8e44ad', '#d35400', '#7f8c8d'];

/** One series of a chart. */
interface Line {
  readonly name: string;
  readonly points: readonly (readonly [x: number, y: number])[];
}

function scale(low: number, high: number, from: number, to: number) {
  return (value: number) => from + ((value - low) / (high - low || 1)) * (to - from);
}

/** Returns an inline SVG line chart. */
export function chart(title: string, lines: readonly Line[]): string {
  const points = lines.flatMap((line) => line.points);
  const xs = points.map(([x]) => x);
  const top = Math.max(1e-9, ...points.map(([, y]) => y));
  const low = Math.min(...xs);
  const high = Math.max(...xs);
  const x = scale(low, high, LEFT, WIDTH - 8);
  const y = scale(0, top, HEIGHT - BOTTOM, TOP);
  const paths = lines.map(({ points: own }, index) => {
    const path = own.map(([px, py]) => `${x(px).toFixed(1)},${y(py).toFixed(1)}`).join(' ');
    const colour = COLOURS[index % COLOURS.length]!;
    const width = index === 0 ? 2.5 : 1.2;
    return `<polyline fill="none" stroke="${colour}" stroke-width="${width}" points="${path}"/>`;
  });
  const labels = lines.map(
    ({ name }, index) =>
      `<div style="color:${COLOURS[index % COLOURS.length]!};font-size:12px">${name}</div>`,
  );
  return [
    `<figure><svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" role="img">`,
    `<text x="${LEFT}" y="14" font-size="13">${title}</text>`,
    `<text x="4" y="${TOP + 8}" font-size="11">${top.toPrecision(3)}</text>`,
    `<text x="4" y="${HEIGHT - BOTTOM}" font-size="11">0</text>`,
    `<text x="${LEFT}" y="${HEIGHT - 8}" font-size="11">${low}</text>`,
    `<text x="${WIDTH - 48}" y="${HEIGHT - 8}" font-size="11">${high}</text>`,
    `<rect x="${LEFT}" y="${TOP}" width="${WIDTH - 8 - LEFT}" height="${HEIGHT - BOTTOM - TOP}" fill="none" stroke="#ccc"/>`,
    ...paths,
    `</svg>${labels.join('')}</figure>`,
  ].join('\n');
}
