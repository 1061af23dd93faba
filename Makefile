VENV ?= .venv
TOX = $(VENV)/bin/tox

.PHONY: test demo

test: $(TOX)
	$(TOX)

demo: $(TOX)
	$(TOX) -q -e demo

$(TOX):
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet 'tox>=4.23'
