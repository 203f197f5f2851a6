// Generates the reference files from code: schemas/*.json and docs/RESULT-CODES.md. Run after `npm run build`.
import { resultCodes } from '@cleatquay/errors';
import { OperatorFileSchema, ProcessSettingsSchema } from '@cleatquay/settings';
import { writeFileSync } from 'node:fs';

const path = name => new URL(`../${name}`, import.meta.url);
const json = value => `${JSON.stringify(value, undefined, 2)}\n`;

writeFileSync(path('schemas/operator-file.json'), json(OperatorFileSchema));
writeFileSync(path('schemas/process-settings.json'), json(ProcessSettingsSchema));

const rows = Object.entries(resultCodes).map(
  ([name, { code, status, outcome, advice }]) => `| ${code} | ${name} | ${status} | ${outcome} | ${advice} |`,
);
writeFileSync(
  path('docs/RESULT-CODES.md'),
  `# Result codes

Every refusal and error carries one of these. Over HTTP: the status, the header \`cleatquay-outcome\`, and a JSON body
with \`code\`, \`result\`, \`outcome\`, \`message\`, \`advice\` and \`retryAfterMs\`. On the command line: \`CQ<code>\` on stderr.

- **not-run**: the request ran nowhere, in this attempt or any earlier one under the same request id, and never will.
- **unknown**: it may have run. Send it again with the same request id to learn its outcome.
- **failed**: an upstream received it, and refused it or failed before its response was complete.

Written by \`node utils/writeReferences.mjs\`; a test compares it with the code.

| code | name | HTTP | outcome | what to do |
|---|---|---|---|---|
${rows.join('\n')}
`,
);
