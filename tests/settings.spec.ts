import { Failure, resultCodes } from '@cleatquay/errors';
import { operatorFileOf, deployments, repositoryPath } from '@cleatquay/bench';
import {
  type OperatorFile,
  OperatorFileSchema,
  ProcessSettingsSchema,
  checkOperatorFile,
  loadProcessSettings,
} from '@cleatquay/settings';
import { expect } from 'chai';
import fc from 'fast-check';
import { readFileSync } from 'node:fs';

function failureOf(action: () => unknown): Failure {
  try {
    action();
  } catch (error) {
    if (error instanceof Failure) return error as Failure;
    throw error;
  }
  throw new Error('It was accepted.');
}

const failureOfChange = (change: (file: OperatorFile) => void) => {
  const file = structuredClone(operatorFileOf(deployments.frostline!));
  change(file);
  return failureOf(() => checkOperatorFile(file));
};

describe('settings', () => {
  describe('of a process', () => {
    it('name the missing field', () => {
      const failure = failureOf(() => loadProcessSettings(undefined, { ip: '127.0.0.1' }));
      expect([failure.result, failure.field]).to.deep.equal(['settingsInvalid', 'failureDomain']);
    });

    it('suggest the closest known field for an unknown one', () => {
      const failure = failureOf(() =>
        loadProcessSettings(undefined, { ip: '127.0.0.1', failureDomian: 'a' }),
      );
      expect(failure.field).to.equal('failureDomian');
      expect(failure.message).to.contain('"failureDomain"');
    });

    it('report the expected and the found value', () => {
      const failure = failureOf(() =>
        loadProcessSettings(undefined, { ip: '127.0.0.1', failureDomain: 'a', drainMs: 'long' }),
      );
      expect(failure.describe()).to.contain('CQ1001 drainMs: Expected').and.to.contain('found "long"');
    });
  });

  describe('of operators', () => {
    it('are rejected for a cycle of calls', () => {
      const failure = failureOfChange(file => file.services.alarms!.routes.list!.calls.push('history.read'));
      expect([failure.result, failure.row.code]).to.deep.equal(['callCycle', 1004]);
    });

    it('are rejected for an idempotent route that reaches a non-idempotent one', () => {
      const failure = failureOfChange(file => (file.services.alarms!.routes.list!.idempotent = false));
      expect(failure.result).to.equal('idempotenceBroken');
      expect(failure.message).to.contain('→ alarms.list');
    });

    it('are rejected for an undeclared class or call', () => {
      expect(failureOfChange(file => (file.services.alarms!.routes.list!.class = 'x')).field).to.contain(
        'routes.list.class',
      );
      expect(
        failureOfChange(file => file.services.alarms!.routes.list!.calls.push('no.where')).message,
      ).to.contain('no.where');
    });

    it('never crash the validation, whatever they contain', () => {
      fc.assert(
        fc.property(fc.jsonValue(), value => {
          expect(failureOf(() => checkOperatorFile(value)).result).to.equal('configurationInvalid');
        }),
      );
    });
  });

  describe('published pages', () => {
    it('contain the schemas that the code validates against', () => {
      const published = (name: string) =>
        JSON.parse(readFileSync(repositoryPath(`schemas/${name}.json`), 'utf8')) as unknown;
      expect(published('operator-file')).to.deep.equal(JSON.parse(JSON.stringify(OperatorFileSchema)));
      expect(published('process-settings')).to.deep.equal(JSON.parse(JSON.stringify(ProcessSettingsSchema)));
    });

    it('list every result code with its number and outcome', () => {
      const page = readFileSync(repositoryPath('docs/RESULT-CODES.md'), 'utf8');
      for (const [name, { code, status, outcome }] of Object.entries(resultCodes)) {
        expect(page).to.contain(`| ${String(code)} | ${name} | ${String(status)} | ${outcome} |`);
      }
    });
  });
});
