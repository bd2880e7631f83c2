// Checks the TAP output of a test run, read from standard input, against KNOWN-RED.txt. Exits with 0 only if every
// test that is not listed there passed, and every listed test ran and failed.
import { existsSync, readFileSync } from 'node:fs';

const [knownFile = 'KNOWN-RED.txt', runnerExit = '0'] = process.argv.slice(2);

/** Prefix of faults found by hand that no CI test covers. They are printed and excuse no failing test. */
const BY_HAND = 'by hand:';

/** Reads one line per test: title as printed by the test runner, cause and issue, separated by `|`. */
function readKnown(file) {
  if (!existsSync(file)) return new Map();
  const lines = readFileSync(file, 'utf8')
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'));
  return new Map(lines.map((line) => [line.split('|')[0].trim(), line]));
}

/** Lines of a failed test's diagnosis that are printed. */
const MAX_DETAIL_LINES = 40;

const known = readKnown(knownFile);
const seen = new Map();
const passed = [];
const failed = [];
/** Diagnosis of each failed test, which the runner indents below its verdict. */
const details = new Map();
let detail = [];
for (const line of readFileSync(0, 'utf8').split('\n')) {
  const match = /^(not ok|ok) \d+ - (.*?)(?: # (SKIP|TODO).*)?$/.exec(line);
  if (!match) {
    if (line.startsWith('  ')) detail.push(line);
    continue;
  }
  const [, verdict, title, directive] = match;
  const isGood = verdict === 'ok' && directive === undefined;
  seen.set(title, isGood);
  detail = [];
  if (!isGood) details.set(title, detail);
  (isGood ? passed : failed).push(title);
}
const isKnown = (title) => known.has(title) && !title.startsWith(BY_HAND);
const wrong = failed.filter((title) => !isKnown(title)).map((title) => `failed: ${title}`);
for (const title of failed.filter((failure) => !isKnown(failure))) {
  console.log(`not ok - ${title}`);
  for (const line of details.get(title).slice(0, MAX_DETAIL_LINES)) console.log(line);
}
for (const [title, line] of known) {
  if (title.startsWith(BY_HAND)) console.log(`known red, ${line}`);
  else if (!seen.has(title)) wrong.push(`listed as known red, not found: ${title}`);
  else if (seen.get(title)) wrong.push(`listed as known red, passes: ${title}`);
  else console.log(`known red: ${line}`);
}
if (runnerExit !== '0' && failed.length === 0) wrong.push(`the runner ended with ${runnerExit}`);
if (passed.length === 0) wrong.push('no test passed');
for (const line of wrong) console.log(line);
console.log(`${passed.length} passed, ${wrong.length} failed`);
process.exit(wrong.length === 0 ? 0 : 1);
